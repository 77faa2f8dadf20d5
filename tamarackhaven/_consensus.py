"""Runs one member of the consensus group on its own thread.

The thread owns the Raft state machine, the storage and the applied state. Other threads
put inputs into its queue and get futures.
"""

import collections
import concurrent.futures
import contextlib
import queue
from functools import singledispatchmethod

import attrs

from tamarackhaven._consensus_waiting import PendingRequests
from tamarackhaven._members import Membership, Step
from tamarackhaven._raft import Raft, Role
from tamarackhaven._raft_messages import Message, Snapshot
from tamarackhaven._storage import Identity
from tamarackhaven.errors import ErrorKind, TamarackhavenError

# All inputs of a batch share one sync. With one sync each, the disk would limit the
# group to a few thousand commits a second; an unbounded batch would delay heartbeats.
# A thousand inputs are handled well within one heartbeat interval.
MAX_INPUTS_PER_BATCH = 1024
# Ticks per heartbeat interval, so that a tick is late by at most a small part of it.
TICKS_PER_HEARTBEAT = 4
# With long commands the log could fill the disk before ``snapshot_entries`` is reached.
# It is also compacted above the larger of this and twice the snapshot, so that a large
# state is rewritten rarely.
MIN_COMPACTION_BYTES = 8 << 20
# More changes may arrive than the disks can sync, as after an availability zone's
# return. Without a limit each change would wait longer than its caller does, and the
# log in memory would grow. The limit is about two seconds of commits at the rate
# reached with many writers; beyond it a caller gets an error at once that says that its
# change isn't in the log.
MAX_PENDING_CHANGES = 4096
BUSY_RETRY_AFTER_S = 0.5


@attrs.frozen
class Status:
    """State of one member, and of the group as this member sees it.

    ``caught_up`` has the names of the other members whose logs a leader knows to be
    nearly complete; it is empty if this member doesn't lead.
    """

    name: str
    role: Role
    leader: str
    term: int
    commit: int
    applied: int
    membership: Membership
    caught_up: frozenset[str] = frozenset()


@attrs.frozen
class _Deliver:
    messages: tuple[Message, ...]


@attrs.frozen
class _Propose:
    command: bytes
    term: int | None
    future: concurrent.futures.Future


@attrs.frozen
class _ChangeMembership:
    step: Step
    future: concurrent.futures.Future


@attrs.frozen
class _Read:
    future: concurrent.futures.Future


@attrs.frozen
class _Stop:
    """Input that ends the member's thread."""


class Consensus:
    """Runs one member of the consensus group.

    Parameters
    ----------
    name : str
        This member's name.
    settings : RaftSettings
        Timings and sizes.
    storage : Storage
        Must be open; is closed by ``stop`` and after a fatal error.
    membership_at_first_start : Membership
        Used if the storage is new; has no members if this one joins a group.
    send : callable
        Called with a sequence of messages; must not block. Messages may be lost.
    machine : object
        Applied state, with ``apply(entry)``, ``snapshot()`` that returns bytes, and
        ``restore(snapshot)``. They are called on this member's thread only; ``apply``
        gets entries of all kinds.
    clock : callable
        Returns a time in seconds that also advances while the VM is suspended.
    rng : random.Random
        Used for election timeouts and the folder's id.
    on_fatal : callable
        Called once, with the error, if the member has to stop permanently.

    Raises
    ------
    TamarackhavenError
        MEMBER_UNKNOWN if the folder belongs to another member; errors of the storage.
    """

    def __init__(
        self,
        name,
        settings,
        storage,
        membership_at_first_start,
        send,
        machine,
        clock,
        rng,
        on_fatal=lambda error: None,
    ):
        self._name = name
        self._settings = settings
        self._storage = storage
        self._send = send
        self._machine = machine
        self._clock = clock
        self._on_fatal = on_fatal
        self._prepare_storage(membership_at_first_start, rng)
        self._raft = self._recover(rng)
        self._tick_s = settings.heartbeat_ms / 1000 / TICKS_PER_HEARTBEAT
        self._tick_due_s = clock()
        self._queue = queue.SimpleQueue()
        self._inputs = collections.deque()
        self._pending = PendingRequests()
        self._error = None
        self._is_stopping = False
        self._executor = None
        self._thread_future = None
        self._status = self._make_status()

    def _prepare_storage(self, membership, rng):
        storage = self._storage
        if storage.is_new:
            identity = Identity(self._name, f"{rng.getrandbits(64):016x}")
            storage.create(identity, Snapshot(0, 0, membership))
        if storage.identity.name != self._name:
            raise TamarackhavenError(
                ErrorKind.MEMBER_UNKNOWN,
                f"the data folder belongs to member {storage.identity.name!r}",
            )

    def _recover(self, rng):
        recovered = self._storage.recovered
        snapshot = recovered.snapshot
        self._applied = snapshot.index
        self._snapshot_bytes = len(snapshot.data)
        if snapshot.index:
            self._machine.restore(snapshot)
        return Raft(
            self._name,
            self._settings,
            recovered.hard_state,
            snapshot,
            recovered.entries,
            self._clock(),
            rng,
        )

    # Called on any thread.

    def start(self):
        """Start the member's thread."""
        self._executor = concurrent.futures.ThreadPoolExecutor(
            1, thread_name_prefix=f"consensus-{self._name}"
        )
        self._thread_future = self._executor.submit(self._run)

    def stop(self):
        """Stop the thread, close the storage and fail all pending requests."""
        self._queue.put(_Stop())
        if self._executor:
            self._executor.shutdown(wait=True)
        else:
            self._close(_stopped_error())

    def deliver(self, messages):
        """Queue messages from other members."""
        self._queue.put(_Deliver(tuple(messages)))

    def propose(self, command, term=None):
        """Append a change to the log.

        Parameters
        ----------
        command : bytes
            Command for ``machine.apply``.
        term : int or None
            Append only while this member leads in this term; None allows any term.

        Returns
        -------
        concurrent.futures.Future
            Result of ``machine.apply`` for this entry. Fails with NO_QUORUM if this
            member doesn't lead in that term, with CONTROL_BUSY if too many changes
            are pending already, with CHANGE_UNCONFIRMED if the entry is in the log
            and may still be committed, or with the fatal error if it was never
            appended. Callbacks run on the member's thread and must not block.
        """
        return self._submit(_Propose, command, term)

    def change_membership(self, step):
        """Append one membership change to the log; see ``propose``."""
        return self._submit(_ChangeMembership, step)

    def read(self):
        """Wait until all entries committed before this call are applied.

        Returns
        -------
        concurrent.futures.Future
            The applied index. Fails with NO_QUORUM if this member isn't the leader,
            or with the fatal error if the member has stopped.
        """
        return self._submit(_Read)

    def _submit(self, kind, *values):
        future = concurrent.futures.Future()
        future.set_running_or_notify_cancel()
        self._queue.put(kind(*values, future))
        if self._error:
            self._fail_queued()
        return future

    def status(self):
        """Return the ``Status`` after the last batch of inputs."""
        return self._status

    def _make_status(self):
        raft = self._raft
        return Status(
            name=self._name,
            role=raft.role,
            leader=raft.leader,
            term=raft.term,
            commit=raft.commit,
            applied=self._applied,
            membership=raft.membership,
            caught_up=raft.caught_up,
        )

    # Called on the member's thread.

    def _run(self):
        error = _stopped_error()
        fatal = None
        try:
            while not self._is_stopping:
                self._run_batch()
        except TamarackhavenError as caught:
            error = fatal = caught
        except Exception as caught:
            error = fatal = TamarackhavenError(ErrorKind.INTERNAL, repr(caught))
            fatal.__cause__ = caught
        self._close(error)
        if fatal:
            self._on_fatal(fatal)

    def _close(self, error):
        """Close the storage; fail all pending and later requests with ``error``."""
        self._error = error
        self._status = attrs.evolve(self._status, role=Role.FOLLOWER, leader="")
        self._storage.close()
        self._pending.fail_all(error)
        for item in self._inputs:
            self._fail_input(item)
        self._inputs.clear()
        self._fail_queued()

    def _fail_queued(self):
        with contextlib.suppress(queue.Empty):
            while True:
                self._fail_input(self._queue.get_nowait())

    def _fail_input(self, item):
        if isinstance(item, _Propose | _ChangeMembership | _Read):
            item.future.set_exception(self._error)

    def _run_batch(self):
        """Process one batch of inputs with one sync."""
        self._collect_inputs()
        self._now = self._clock()
        outputs = []
        while self._inputs:
            outputs.extend(self._handle(self._inputs.popleft()))
        if self._now >= self._tick_due_s:
            # After a sync that took longer than an election timeout, heartbeats wait in
            # the queue. A follower that checked its election timeout before them would
            # start a needless election, so the tick comes after all inputs.
            self._tick_due_s = self._now + self._tick_s
            outputs.append(self._raft.tick(self._now))
        if self._pending.has_new_reads:
            # All reads of a batch share one heartbeat round.
            token = self._pending.start_read_round()
            outputs.append(self._raft.read(token, self._now))
        self._process_outputs(outputs)
        self._compact_if_large()
        self._pending.fail_other_terms(self._leading_term())
        self._status = self._make_status()

    def _collect_inputs(self):
        wait_s = max(self._tick_due_s - self._clock(), 0.0)
        with contextlib.suppress(queue.Empty):
            self._inputs.append(self._queue.get(timeout=min(wait_s, self._tick_s)))
            while len(self._inputs) < MAX_INPUTS_PER_BATCH:
                self._inputs.append(self._queue.get_nowait())

    def _leading_term(self):
        return self._raft.term if self._raft.role is Role.LEADER else None

    @singledispatchmethod
    def _handle(self, item):
        raise TypeError(f"unknown input type {type(item).__name__}")

    @_handle.register
    def _(self, item: _Deliver):
        return [self._raft.step(message, self._now) for message in item.messages]

    @_handle.register
    def _(self, item: _Propose):
        if self._pending.proposal_count >= MAX_PENDING_CHANGES:
            item.future.set_exception(
                TamarackhavenError(
                    ErrorKind.CONTROL_BUSY,
                    f"{MAX_PENDING_CHANGES} changes are pending already",
                    BUSY_RETRY_AFTER_S,
                )
            )
            return []
        if item.term not in (None, self._raft.term):
            # While a change waits in the queue, this member may lose the leadership and
            # win it again. A change decided before another leader's grants would then
            # take effect after them, so it is valid only in the term of its decision.
            item.future.set_exception(
                TamarackhavenError(
                    ErrorKind.NO_QUORUM, f"term {item.term} has ended", 0.1
                )
            )
            return []
        return self._append_entry(self._raft.propose, item.command, item.future)

    @_handle.register
    def _(self, item: _ChangeMembership):
        return self._append_entry(self._raft.change_membership, item.step, item.future)

    def _append_entry(self, method, value, future):
        try:
            index, term, output = method(value, self._now)
        except TamarackhavenError as error:
            future.set_exception(error)
            return []
        self._pending.add_proposal(index, term, future)
        return [output]

    @_handle.register
    def _(self, item: _Read):
        self._pending.add_read(item.future)
        return []

    @_handle.register
    def _(self, _item: _Stop):
        self._is_stopping = True
        return []

    def _process_outputs(self, outputs):
        """Sync all writes at once, then send, apply and answer reads in order."""
        while outputs:
            writes = [write for output in outputs for write in output.writes]
            next_outputs = []
            if writes:
                # If a reply were sent before its write is synced, a crash of the VM
                # could make it vote twice in a term or lose an acknowledged entry.
                # Nothing below runs unless this call has returned.
                self._storage.write(writes)
                next_outputs = [self._raft.persisted(writes, self._now)]
            for output in outputs:
                self._process_output(output)
            outputs = next_outputs

    def _process_output(self, output):
        if output.messages:
            self._send(output.messages)
        if output.restored:
            self._machine.restore(output.restored)
            self._applied = output.restored.index
            self._snapshot_bytes = len(output.restored.data)
        for entry in output.committed:
            result = self._machine.apply(entry)
            self._applied = entry.index
            self._pending.complete_proposal(entry, result)
        for ready in output.reads:
            self._pending.confirm_read(ready)
        self._pending.fail_reads(output.dropped_reads)
        self._pending.complete_reads(self._applied)

    def _compact_if_large(self):
        entries = self._applied - self._raft.snapshot_index
        limit = max(MIN_COMPACTION_BYTES, 2 * self._snapshot_bytes)
        is_large = self._storage.log_bytes > limit and entries > 0
        if not is_large and entries < self._settings.snapshot_entries:
            return
        data = self._machine.snapshot()
        self._snapshot_bytes = len(data)
        snapshot = self._raft.snapshot_at(self._applied, data)
        self._process_outputs([self._raft.compact(snapshot)])


def _stopped_error():
    return TamarackhavenError(ErrorKind.NO_QUORUM, "this member has stopped")
