"""Defines header names and the types that pass through the request path."""

import attrs

KEY_HEADER = "Tamarackhaven-Key"
DEADLINE_MS_HEADER = "Tamarackhaven-Deadline-Ms"
REQUEST_ID_HEADER = "Tamarackhaven-Request-Id"
CALLER_HEADER = "Tamarackhaven-Caller"
IDEMPOTENCY_HEADER = "Idempotency-Key"
FIRST_SENT_HEADER = "Tamarackhaven-First-Sent"
HOPS_HEADER = "Tamarackhaven-Hops"
EPOCH_HEADER = "Tamarackhaven-Epoch"
SHARD_HEADER = "Tamarackhaven-Shard"
START_BY_HEADER = "Tamarackhaven-Start-By"
DEADLINE_HEADER = "Tamarackhaven-Deadline"
DECISION_HEADER = "Tamarackhaven-Decision"
RAN_HEADER = "Tamarackhaven-Ran"
ERROR_HEADER = "Tamarackhaven-Error"
DID_NOT_RUN_HEADER = "Tamarackhaven-Did-Not-Run"
RETRY_AFTER_HEADER = "Retry-After"
RETRY_AFTER_MS_HEADER = "Tamarackhaven-Retry-After-Ms"

# A request with one of these headers twice is refused: a proxy and a target that use
# different ones of the two would act on different requests.
SINGLE_HEADERS = frozenset(
    name.lower()
    for name in (
        KEY_HEADER,
        DEADLINE_MS_HEADER,
        REQUEST_ID_HEADER,
        CALLER_HEADER,
        IDEMPOTENCY_HEADER,
        FIRST_SENT_HEADER,
        HOPS_HEADER,
        "Host",
        "Content-Length",
        "Content-Type",
        "Transfer-Encoding",
        "Authorization",
    )
)

LOOKUP_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


@attrs.frozen
class RawRequest:
    """An HTTP request as it arrived; header names are in lower case.

    Parameters
    ----------
    received_s : float
        Time when the last byte arrived, in seconds of CLOCK_BOOTTIME.
    overloaded : bool
        Whether all threads of this port are busy and as many requests are queued.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    peer_host: str
    received_s: float
    overloaded: bool = False


@attrs.frozen
class Request:
    """An identified request.

    Parameters
    ----------
    headers : tuple of (str, str)
        Headers that are forwarded to the target unchanged.
    deadline_s : float or None
        In seconds of CLOCK_BOOTTIME; None until the service's default is applied.
    first_sent_s : float or None
        Time when the caller sent the first try, in seconds of its wall clock.
    hops : int
        Number of daemons that the request has passed.
    decision_id : str
        Identifies this daemon's decision on this request; a retry has another one.
    """

    request_id: str
    service: str
    key: str
    key_hash: int
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    caller: str
    received_s: float
    deadline_s: float | None = None
    idempotency_key: str = ""
    first_sent_s: float | None = None
    hops: int = 0
    decision_id: str = ""

    @property
    def is_booking(self):
        """Whether the request must not run twice."""
        return self.method not in LOOKUP_METHODS


@attrs.frozen
class HttpAnswer:
    """An HTTP answer; ``headers`` are pairs of name and value."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name, default=""):
        """Return the value of the first header called ``name``, in any case."""
        wanted = name.lower()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value
        return default
