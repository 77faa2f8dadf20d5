"""A gRPC client for the control VMs, with failover between them."""

import asyncio

import attrs
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from tamarackhaven import _codec, _wire_pb2 as pb
from tamarackhaven._changes import Change, Outcome
from tamarackhaven._decisions import Decision
from tamarackhaven._events import LoadReport
from tamarackhaven._feed_wire import PackedEvents
from tamarackhaven._history import Feed
from tamarackhaven._loop import LoopThread
from tamarackhaven._members import Membership, Step
from tamarackhaven._wire_grpc import ControlStub
from tamarackhaven.errors import ErrorKind, TamarackhavenError

# Fraction of the caller's timeout for one attempt, so that a control VM that accepts
# the connection but doesn't answer (frozen, or cut off in one direction) leaves time to
# try the next one.
ATTEMPT_TIMEOUT_FRACTION = 0.4
RETRY_INTERVAL_S = 0.05
CALL_FAILURES = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
    asyncio.TimeoutError,
)


@attrs.frozen
class MemberStatus:
    """Status of one control VM and its view of the group."""

    member: str
    role: str
    leader: str
    term: int
    applied: int
    membership: Membership


class ControlClient:
    """Calls to a group of control VMs; safe to use from any thread.

    Parameters
    ----------
    members : sequence of ControlMember or Member
        Control VMs to call; ``set_members`` replaces them.
    """

    def __init__(self, members):
        self._loop = LoopThread("control-client")
        self._channel_by_address = {}
        self._members = list(members)
        self._member_index = 0

    def set_members(self, members):
        """Call these control VMs from now on; an empty list changes nothing."""
        if members:
            self._members = list(members)

    def change(self, change, timeout_s):
        """Send a change and return its ``Outcome``.

        It is resent to another control VM if one gives no answer: a change with a
        change id gets its first outcome, and changes without an id are idempotent.

        Raises
        ------
        TamarackhavenError
            CHANGE_UNCONFIRMED if no control VM answered with an outcome within
            ``timeout_s`` seconds.
        """
        request = pb.ChangeRequest(change=_codec.dumps(change, Change))

        async def call(stub, attempt_timeout_s):
            request.timeout_ms = max(1, int(attempt_timeout_s * 1000))
            reply = await stub.Change(request, timeout=attempt_timeout_s)
            outcome = _codec.loads(reply.outcome, Outcome)
            return None if _is_retryable(outcome.code) else outcome

        return self._call_any_member(call, timeout_s, ErrorKind.CHANGE_UNCONFIRMED)

    def change_membership(self, step, timeout_s):
        """Add, promote or remove a member of the group; return the ``Outcome``.

        Raises
        ------
        TamarackhavenError
            CHANGE_UNCONFIRMED if no control VM answered with an outcome within
            ``timeout_s`` seconds.
        """
        request = pb.MembershipRequest(step=_codec.dumps(step, Step))

        async def call(stub, attempt_timeout_s):
            request.timeout_ms = max(1, int(attempt_timeout_s * 1000))
            reply = await stub.Membership(request, timeout=attempt_timeout_s)
            outcome = _codec.loads(reply.outcome, Outcome)
            return None if _is_retryable(outcome.code) else outcome

        return self._call_any_member(call, timeout_s, ErrorKind.CHANGE_UNCONFIRMED)

    def fetch(self, from_version, timeout_s, linearizable=False):
        """Return the ``Feed`` since a version, from the leader if ``linearizable``."""
        request = pb.FetchRequest(from_version=from_version, linearizable=linearizable)

        async def call(stub, attempt_timeout_s):
            return _feed(await stub.Fetch(request, timeout=attempt_timeout_s))

        return self._call_any_member(call, timeout_s, ErrorKind.CONTROL_UNREACHABLE)

    def explain(self, service, key, decision_id, limit, timeout_s):
        """Return recorded decisions, newest first."""
        request = pb.ExplainRequest(
            service=service, key=key, decision_id=decision_id, limit=limit
        )

        async def call(stub, attempt_timeout_s):
            reply = await stub.Explain(request, timeout=attempt_timeout_s)
            return _codec.loads(reply.decisions, list[Decision])

        return self._call_any_member(call, timeout_s, ErrorKind.CONTROL_UNREACHABLE)

    def report(self, report, timeout_s):
        """Send a ``LoadReport``, which the control VM forwards to the leader."""
        request = pb.ReportRequest(report=_codec.dumps(report, LoadReport))

        async def call(stub, attempt_timeout_s):
            return await stub.Report(request, timeout=attempt_timeout_s)

        self._call_any_member(call, timeout_s, ErrorKind.CONTROL_UNREACHABLE)

    def status(self, member, timeout_s):
        """Return the ``MemberStatus`` of one control VM.

        Raises
        ------
        TamarackhavenError
            CONTROL_UNREACHABLE, naming the member, if it doesn't answer.
        """

        async def call():
            stub = ControlStub(self._channel(member))
            return await stub.Status(pb.StatusRequest(), timeout=timeout_s)

        try:
            reply = self._loop.call(call(), timeout_s + 1)
        except CALL_FAILURES as error:
            raise TamarackhavenError(
                ErrorKind.CONTROL_UNREACHABLE, f"{member.name}: {error!r}"
            ) from error
        return MemberStatus(
            reply.member,
            reply.role,
            reply.leader,
            reply.term,
            reply.applied,
            _codec.loads(reply.membership, Membership),
        )

    def watch(self, from_version, timeout_s):
        """Yield each newer ``Feed``, from any member that answers.

        A feed that isn't newer than the last one is skipped, so a member that lags
        never takes the watcher back to an older version.

        Raises
        ------
        TamarackhavenError
            CONTROL_UNREACHABLE if no member answers within ``timeout_s`` seconds; this
            ends the iteration.
        """
        version = from_version
        while True:
            feed = self._next_feed(version, timeout_s)
            if feed.version > version:
                version = feed.version
                yield feed

    def _next_feed(self, version, timeout_s):
        wait_s = timeout_s * ATTEMPT_TIMEOUT_FRACTION / 2
        request = pb.FetchRequest(from_version=version, wait_ms=int(wait_s * 1000))

        async def call(stub, attempt_timeout_s):
            return _feed(await stub.Fetch(request, timeout=attempt_timeout_s))

        return self._call_any_member(call, timeout_s, ErrorKind.CONTROL_UNREACHABLE)

    def close(self):
        """Close all connections."""

        async def close():
            for channel in self._channel_by_address.values():
                channel.close()

        self._loop.call(close(), 5)
        self._loop.stop()

    def _call_any_member(self, call, timeout_s, failure_kind):
        try:
            return self._loop.call(
                self._try_members(call, timeout_s, failure_kind), timeout_s + 5
            )
        except TimeoutError as error:
            raise TamarackhavenError(failure_kind, "No control VM answered.") from error

    async def _try_members(self, call, timeout_s, failure_kind):
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        last_error = "No control VM answered."
        attempts = 0
        while (remaining_s := deadline_s - loop.time()) > 0:
            attempts += 1
            members = self._members
            member = members[self._member_index % len(members)]
            attempt_timeout_s = min(
                remaining_s, max(timeout_s * ATTEMPT_TIMEOUT_FRACTION, 0.05)
            )
            try:
                answer = await asyncio.wait_for(
                    call(ControlStub(self._channel(member)), attempt_timeout_s),
                    attempt_timeout_s,
                )
                if answer is not None:
                    return answer
                last_error = f"{member.name} has no leader."
            except CALL_FAILURES as error:
                last_error = f"{member.name}: {type(error).__name__} {error}"
            self._member_index += 1
            if attempts % len(members) == 0:
                await asyncio.sleep(RETRY_INTERVAL_S)
        raise TamarackhavenError(failure_kind, last_error)

    def _channel(self, member):
        address = member.host, member.port
        channel = self._channel_by_address.get(address)
        if channel is None:
            channel = Channel(member.host, member.port)
            self._channel_by_address[address] = channel
        return channel


def _feed(reply):
    return Feed(reply.version, reply.snapshot, PackedEvents(reply.events))


def _is_retryable(code):
    """Return whether the call should be retried at another control VM."""
    return code in (ErrorKind.NO_QUORUM.value, ErrorKind.CHANGE_UNCONFIRMED.value)
