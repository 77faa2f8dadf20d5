"""Messages between daemons: forwarded requests, their bodies and their results."""

import attrs

from tamarackhaven.net import Codec


@attrs.frozen
class PeerHello:
    """Opens a link; ``boot`` names this run of the daemon that opens it."""

    boot: str


@attrs.frozen
class PeerWelcome:
    """Answers ``PeerHello``; another ``boot`` than before means a restart."""

    boot: str


@attrs.frozen
class Forward:
    """A request for a target beside another daemon.

    Parameters
    ----------
    number : int
        Unique within the sender's run. A repeated number means the same request.
    life : str
        Life of the target that is to run it.
    service, route : str
        Service and route of the request by the sender's configuration.
    key : int
        The request's key, -1 if its service isn't sharded.
    attempt_id, method, target, headers, body
        As the caller sent them.
    caller_service : str
        Service of the VM that the request came from.
    is_safe : bool
        Whether it may run more than once.
    priority : int
        0 is the most urgent.
    left_ms, objective_ms : float
        Time left when it was sent, until its deadline and until its answer is no longer
        in time, in milliseconds. The latter may be below 0.
    waits : bool
        Whether it may wait at the gate. If not and the target is busy, ``NotRun`` gives
        the expected wait.
    body_bytes : int
        Size of an announced body, which isn't in ``body``: the target's daemon requests
        its parts.
    limit_per_s : float or None
        Requests per second that the target accepts, as the sender last read it in an
        answer; None without a limit.
    digest : bytes
        Of what the caller asks for, see ``request_digest``.
    has_permit : bool
        Whether it may run although it's a suspect.
    """

    number: int
    life: str
    service: str
    route: str
    key: int
    attempt_id: str
    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    caller_service: str
    is_safe: bool
    priority: int
    left_ms: float
    objective_ms: float
    waits: bool = True
    body_bytes: int = 0
    limit_per_s: float | None = None
    digest: bytes = b""
    has_permit: bool = False


@attrs.frozen
class BodyAsk:
    """Requests a part of an announced body, ``count`` bytes from ``offset``."""

    number: int
    offset: int
    count: int


@attrs.frozen
class BodyPart:
    """A part of the body of the request ``number``."""

    number: int
    offset: int
    data: bytes


@attrs.frozen
class GateLoad:
    """Load of a target, as measured by its daemon.

    Parameters
    ----------
    running, waiting, slots : int
        Requests that run and that wait at the gate, and requests that may run at once.
    work_ms : float
        Mean time of the target's answers to requests of the same route, in
        milliseconds; 0 before the first one.
    is_cold : bool
        Whether the target is still cold after its start, so that its gate starts fewer
        requests.
    arriving_bytes : int
        Bytes of announced bodies that the target's daemon has yet to receive.
    link_bytes_per_s : float
        Recent throughput of its link while bodies arrived, 0 if unknown.
    limit_wait_s : float
        How long the limit that the target named delays a new request, 0 without one.
    """

    running: int = 0
    waiting: int = 0
    slots: int = 1
    work_ms: float = 0.0
    is_cold: bool = False
    arriving_bytes: int = 0
    link_bytes_per_s: float = 0.0
    limit_wait_s: float = 0.0


@attrs.frozen
class Answered:
    """The target's complete answer to a request.

    Parameters
    ----------
    waited_ms, worked_ms, brought_ms : float
        Time of the request at the gate and at the target, and time from the
        announcement of its body until it had arrived, in milliseconds.
    """

    number: int
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    load: GateLoad = GateLoad()
    waited_ms: float = 0.0
    worked_ms: float = 0.0
    brought_ms: float = 0.0


@attrs.frozen
class NotRun:
    """Reports that a request did not run and won't run.

    Parameters
    ----------
    kind : str
        Name of the ``ErrorKind``.
    retry_after_s : float
        Time after which a retry may succeed, in seconds.
    was_offered : bool
        Whether it was sent to the target, and the target refused it.
    """

    number: int
    kind: str
    retry_after_s: float = 0.0
    was_offered: bool = False
    load: GateLoad = GateLoad()


@attrs.frozen
class Lost:
    """Reports that a request may have run, but no complete answer was received.

    Parameters
    ----------
    kind : str
        Name of the ``ErrorKind``.
    ended : str
        What ended since it was sent: the life of the target, or a run of the daemon
        beside it; empty if neither did.
    """

    number: int
    kind: str
    load: GateLoad = GateLoad()
    ended: str = ""


@attrs.frozen
class WaitQuery:
    """Queries how long a request would wait at the gate.

    Parameters
    ----------
    number : int
        Unique on its link.
    route, priority, objective_ms, body_bytes
        As in ``Forward``.
    """

    number: int
    route: str
    priority: int
    objective_ms: float
    body_bytes: int = 0


@attrs.frozen
class WaitReply:
    """Answers ``WaitQuery``.

    Parameters
    ----------
    number : int
        Number of the query.
    wait_s : float or None
        Expected wait in seconds, None if the target accepts no new requests.
    """

    number: int
    wait_s: float | None


@attrs.frozen
class Cancel:
    """Cancels a request whose result is no longer needed."""

    number: int


@attrs.frozen
class Leaving:
    """Announces that the sender's process stops soon.

    Requests that another target can run should no longer be sent to it.
    """


@attrs.frozen
class TargetEnded:
    """Tells which requests a target had when it ended.

    The daemon beside it sends this, and others pass it on.

    Parameters
    ----------
    life : str
        The life that ended.
    requests : tuple of bytes
        Digests of what these ask for.
    """

    life: str
    requests: tuple[bytes, ...]


PEER_CODEC = Codec(
    (
        PeerHello,
        PeerWelcome,
        Forward,
        BodyAsk,
        BodyPart,
        Answered,
        NotRun,
        Lost,
        WaitQuery,
        WaitReply,
        Cancel,
        Leaving,
        TargetEnded,
    )
)
