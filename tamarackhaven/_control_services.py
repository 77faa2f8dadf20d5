"""The gRPC services of a control VM, on ``grpclib``."""

import asyncio
import contextlib

from grpclib import GRPCError, Status

from tamarackhaven import _codec, _keys, _wire_pb2 as pb
from tamarackhaven._changes import Change, Command, JoinTarget, Outcome
from tamarackhaven._clock import unix_s
from tamarackhaven._control_client import CALL_FAILURES
from tamarackhaven._decisions import Decision
from tamarackhaven._events import LoadReport
from tamarackhaven._feed_wire import pack
from tamarackhaven._members import Membership, Step
from tamarackhaven._raft_wire import from_wire
from tamarackhaven._state import encode_command
from tamarackhaven._wire_grpc import ControlBase, PeerBase
from tamarackhaven.errors import ErrorKind, TamarackhavenError

MAX_WAIT_MS = 30_000
MAX_EXPLAIN_DECISIONS = 500


class PeerService(PeerBase):
    """The service that other control VMs call.

    Parameters
    ----------
    consensus : Consensus
        Receives the messages.
    fence : callable
        ``fence(service, target, epoch) -> FenceAnswer``; it syncs a file to disk.
    executor : concurrent.futures.Executor
        Runs ``fence`` outside the event loop.
    """

    def __init__(self, consensus, fence, executor):
        self._consensus = consensus
        self._fence = fence
        self._executor = executor

    async def Step(self, stream):  # noqa: N802
        """Deliver consensus messages until the sender ends the call."""
        async for request in stream:
            messages = [from_wire(message) for message in request.messages]
            self._consensus.deliver(messages)
        await stream.send_message(pb.StepReply())

    async def Fence(self, stream):  # noqa: N802
        """Fence an epoch if its lease promise has expired."""
        request = await stream.recv_message()
        answer = await asyncio.get_running_loop().run_in_executor(
            self._executor, self._fence, request.service, request.target, request.epoch
        )
        remaining_ms = int(answer.remaining_s * 1000) + 1
        await stream.send_message(
            pb.FenceReply(fenced=answer.fenced, remaining_ms=remaining_ms)
        )


class VersionWaiters:
    """Lets coroutines wait until a newer version is applied."""

    def __init__(self, machine, loop):
        self._machine = machine
        self._loop = loop
        self._futures = set()
        machine.on_applied(self._on_applied)

    def _on_applied(self, version):
        if self._futures:
            self._loop.call_soon_threadsafe(self._wake)

    def _wake(self):
        for future in self._futures:
            if not future.done():
                future.set_result(None)
        self._futures.clear()

    async def wait_for_newer(self, version, timeout_s):
        """Return once a newer version is applied, or after ``timeout_s`` seconds."""
        deadline_s = self._loop.time() + timeout_s
        while self._machine.version <= version:
            remaining_s = deadline_s - self._loop.time()
            if remaining_s <= 0:
                return
            future = self._loop.create_future()
            self._futures.add(future)
            # An entry that was applied before the line above has not woken this future.
            if self._machine.version > version:
                return
            await asyncio.wait([future], timeout=remaining_s)
            self._futures.discard(future)


class ControlService(ControlBase):
    """The service that daemons and operators call.

    Parameters
    ----------
    consensus : Consensus
        The replicated log.
    machine : Machine
        State machine with the entries that are applied here.
    peers : Peers
        Connections to the other members, among them the leader.
    leader : LeaderDuties
        The leader's state outside the log: load reports, decisions not to move shards,
        and fence rounds of targets that stopped renewing their leases.
    version_waiters : VersionWaiters
        Wakes watchers when a version is applied.
    """

    def __init__(self, consensus, machine, peers, leader, version_waiters):
        self._consensus = consensus
        self._machine = machine
        self._peers = peers
        self._leader = leader
        self._version_waiters = version_waiters
        # Cache key of a feed, see ``_pack_events``, and the feed's packed events.
        self._packed_cache = None, b""

    async def Change(self, stream):  # noqa: N802
        """Commit a change; a follower forwards it to the leader once."""
        request = await stream.recv_message()
        outcome = await self._change(request)
        await stream.send_message(
            pb.ChangeReply(outcome=_codec.dumps(outcome, Outcome))
        )

    async def _change(self, request):
        leader = self._leader_stub()
        if leader is not None:
            if request.forwarded:
                return _outcome(ErrorKind.NO_QUORUM, "The leadership is changing.")
            request.forwarded = True
            try:
                reply = await leader.Change(request, timeout=request.timeout_ms / 1000)
            except CALL_FAILURES as error:
                return _outcome(ErrorKind.CHANGE_UNCONFIRMED, repr(error))
            return _codec.loads(reply.outcome, Outcome)
        try:
            change = _codec.loads(request.change, Change)
        except Exception as error:
            return _outcome(ErrorKind.INVALID_RESOURCE, _first_line(error))
        try:
            change = self._check_change(change)
            command = encode_command(Command(change, unix_s()))
            return await self._wait_committed(
                self._consensus.propose(command), request.timeout_ms
            )
        except TamarackhavenError as error:
            return _outcome(error.kind, error.detail)

    def _check_change(self, change):
        if isinstance(change, JoinTarget):
            return self._leader.checked_join(change)
        return change

    async def _wait_committed(self, future, timeout_ms):
        try:
            return await asyncio.wait_for(
                asyncio.wrap_future(future), timeout_ms / 1000
            )
        except TimeoutError:
            return _outcome(
                ErrorKind.CHANGE_UNCONFIRMED,
                "No majority confirmed it within the timeout.",
            )

    async def Membership(self, stream):  # noqa: N802
        """Add, promote or remove a member of the group."""
        request = await stream.recv_message()
        leader = self._leader_stub()
        if leader is not None:
            await stream.send_message(await leader.Membership(request))
            return
        try:
            step = _codec.loads(request.step, Step)
            self._leader.check_membership_step(step)
            await self._wait_committed(
                self._consensus.change_membership(step), request.timeout_ms
            )
            outcome = Outcome(version=self._machine.version)
        except TamarackhavenError as error:
            outcome = _outcome(error.kind, error.detail)
        await stream.send_message(
            pb.MembershipReply(outcome=_codec.dumps(outcome, Outcome))
        )

    async def Fetch(self, stream):  # noqa: N802
        """Reply with events since a version; wait up to ``wait_ms`` for one."""
        request = await stream.recv_message()
        if request.linearizable:
            leader = self._leader_stub()
            if leader is not None:
                await stream.send_message(await leader.Fetch(request))
                return
            await self._read_barrier()
        wait_s = min(request.wait_ms, MAX_WAIT_MS) / 1000
        if wait_s:
            await self._version_waiters.wait_for_newer(request.from_version, wait_s)
        await stream.send_message(self._reply(request.from_version))

    async def _read_barrier(self):
        try:
            await asyncio.wait_for(asyncio.wrap_future(self._consensus.read()), 2)
        except (TamarackhavenError, TimeoutError) as error:
            raise GRPCError(Status.UNAVAILABLE, str(error)) from error

    def _reply(self, from_version):
        feed = self._machine.feed(from_version)
        return pb.FetchReply(
            version=feed.version, snapshot=feed.snapshot, events=self._pack_events(feed)
        )

    def _pack_events(self, feed):
        """Return the feed's events as bytes, cached for the newest feed.

        At the same time, 1,500 daemons may fetch the same change. If 4,096 changed
        shards were packed again for each of them, this would take a minute of processor
        time. One cached feed is sufficient, as nearly all daemons fetch from the same
        version.
        """
        if not feed.events:
            return b""
        first, last = feed.events[0], feed.events[-1]
        cache_key = feed.version, feed.snapshot, len(feed.events), first, last
        if self._packed_cache[0] != cache_key:
            self._packed_cache = cache_key, pack(feed.events)
        return self._packed_cache[1]

    async def Explain(self, stream):  # noqa: N802
        """Reply with recorded decisions.

        Only the leader records decisions not to move a shard.
        """
        request = await stream.recv_message()
        leader = self._leader_stub()
        if leader is not None:
            with contextlib.suppress(*CALL_FAILURES):
                await stream.send_message(await leader.Explain(request, timeout=1))
                return
        decisions = self._find_decisions(request)
        await stream.send_message(
            pb.ExplainReply(decisions=_codec.dumps(decisions, list[Decision]))
        )

    def _find_decisions(self, request):
        limit = min(request.limit or 50, MAX_EXPLAIN_DECISIONS)
        with self._machine.lock:
            shard = self._shard_of_key(request.service, request.key)
            found = self._machine.state.decisions.find(
                request.service, shard, request.decision_id, limit
            )
        refused = self._leader.refusals.find(
            request.service, shard, request.decision_id, limit
        )
        newest_first = sorted(found + refused, key=lambda d: -d.at_unix_s)
        return newest_first[:limit]

    def _shard_of_key(self, service, key):
        resource = self._machine.state.resource("Service", service)
        if resource is None or not key:
            return None
        key_hash = _keys.hash_key(service, key)
        # A pinned key has a shard of its own, which comes before its ordinary shard.
        for grant in self._machine.state.grants(service).values():
            if grant.key_hash == key_hash:
                return grant.shard
        return _keys.shard_of(key_hash, resource.shard_count)

    async def Report(self, stream):  # noqa: N802
        """Record a daemon's load report, or forward it to the leader."""
        request = await stream.recv_message()
        leader = self._leader_stub()
        if leader is not None:
            # If the leader is lost, the next report replaces this one.
            with contextlib.suppress(*CALL_FAILURES):
                await leader.Report(request, timeout=1)
        else:
            self._leader.report(_codec.loads(request.report, LoadReport))
        await stream.send_message(pb.ReportReply())

    async def Status(self, stream):  # noqa: N802
        """Reply with this member's view of the group."""
        await stream.recv_message()
        status = self._consensus.status()
        await stream.send_message(
            pb.StatusReply(
                member=status.name,
                role=status.role.value,
                leader=status.leader,
                term=status.term,
                applied=self._machine.version,
                membership=_codec.dumps(self._machine.membership, Membership),
            )
        )

    def _leader_stub(self):
        """Return the leader's stub, or None if this member must answer by itself."""
        status = self._consensus.status()
        if not status.leader or status.leader == status.name:
            return None
        return self._peers.control_stub(status.leader)


def _outcome(kind, detail):
    return Outcome(kind.value, detail)


def _first_line(error):
    return str(error).splitlines()[0] if str(error) else type(error).__name__
