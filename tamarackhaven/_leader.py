"""The leader's duties besides replication: retiring targets, placement and pins.

All decisions are made by pure modules (``_fence_round``, ``_placement``, ``_pins``);
this module collects their inputs and proposes their results. A proposal names the epoch
or grant that it is based on, so one based on an old state has no effect.
"""

import contextlib
import queue
import threading
from functools import singledispatchmethod

import attrs

from tamarackhaven._changes import Command, MoveShards, RetireTarget
from tamarackhaven._decisions import Decision, DecisionRecord
from tamarackhaven._events import LoadReport
from tamarackhaven._fence_round import FenceAsk, FenceRounds
from tamarackhaven._model import TargetState, ZoneState
from tamarackhaven._pins import PinPlanner
from tamarackhaven._placement import plan
from tamarackhaven._plan import PlacementInputs
from tamarackhaven._raft import Role
from tamarackhaven._state import encode_command
from tamarackhaven.errors import ErrorKind, TamarackhavenError

PIN_INTERVAL_S = 1.0
# Replans without a change of state, for targets that become cold or warm. A plan
# without moves takes a tenth of a second of CPU at the design size.
REPLAN_INTERVAL_S = 5.0
FAILED_STEP_PAUSE_S = 0.2
COLD_WARMTH_FRACTION = 0.3
MAX_REFUSALS = 200


@attrs.frozen
class _FenceReply:
    ask: FenceAsk
    fenced: bool
    remaining_ms: int


class LeaderDuties:
    """Runs on every control VM, but acts only on the leader.

    Parameters
    ----------
    settings : ControlSettings
        Settings of this control VM.
    consensus, machine, peers, leases
        The components of this control VM.
    clock : module
        Provides ``boot_s`` and ``unix_s``.
    log : Log
        Log of the part ``leader``.
    """

    def __init__(self, settings, consensus, machine, peers, leases, clock, log):
        self._settings = settings
        self._consensus = consensus
        self._machine = machine
        self._peers = peers
        self._leases = leases
        self._tick_s = settings.placement.tick_ms / 1000
        self._urgent_after_s = settings.lease.zone_grace_ms / 1000 / 2
        self._clock = clock
        self._log = log
        # Replies and reports of hundreds of daemons arrive while a plan at the design
        # size takes a quarter of a second. A lock around both would block the event
        # loop, and with it consensus, so they are queued here for the next step.
        self._inbox = queue.SimpleQueue()
        self._stopping = threading.Event()
        self._wake = threading.Event()
        self._thread = threading.Thread(target=self._run, name="leader", daemon=True)
        self.refusals = DecisionRecord(MAX_REFUSALS)
        self._refused = 0
        self._term = 0
        self._start_term()

    def _start_term(self):
        self._rounds = FenceRounds(self._settings.lease, self._settings.name)
        self._pins = PinPlanner(self._settings.placement)
        self._report_by_target = {}
        self._planned_by_service = {}
        self._proposed_by_service = {}
        self._holds_by_service = {}
        self._stopping_since_by_service = {}
        self._cold_shards_by_service = {}
        self._retiring = {}
        self._pinned_at_s = 0.0

    def start(self):
        """Start the thread."""
        self._thread.start()

    def stop(self):
        """Stop the thread and wait for it."""
        self._stopping.set()
        self._wake.set()
        self._thread.join()

    def _run(self):
        while not self._stopping.is_set():
            self._wake.wait(self._tick_s)
            self._wake.clear()
            try:
                self.step(self._clock.boot_s())
            except TamarackhavenError as error:
                # Leadership was lost during the step; the next leader continues.
                self._log.say("step aborted", code=error.kind.value)
            except Exception as error:  # one bad input must not end the thread
                self._log.say("step failed", error=repr(error))
                self._stopping.wait(FAILED_STEP_PAUSE_S)

    def step(self, now):
        """Run one step at ``now``, in seconds, if this VM is the leader."""
        status = self._consensus.status()
        if status.role is not Role.LEADER:
            self._term = 0
            return
        if status.term != self._term:
            self._term = status.term
            self._start_term()
            self._leases.membership_changed()
        self._process_inbox(now)
        self._fence(now, status.membership.voters)
        self._retire_left_targets()
        # Before placement, which must not move away pins that are returning to their
        # shard's owner.
        self._pin(now)
        self._place(now)

    def _process_inbox(self, now):
        with contextlib.suppress(queue.Empty):
            while True:
                self._process(self._inbox.get_nowait(), now)

    @singledispatchmethod
    def _process(self, item, now):
        raise TypeError(f"unexpected leader input: {type(item).__name__}")

    # --- silent targets ---------------------------------------------------------

    def _fence(self, now, voters):
        with self._machine.lock:
            members = self._machine.state.members
        asks = self._rounds.tick(now, members, self._leases.promise_end, voters)
        for ask in asks:
            if ask.member == self._settings.name:
                fenced = self._leases.fence(ask.service, ask.target, ask.epoch)
                self._process(_FenceReply(ask, fenced.ok, fenced.remaining_ms), now)
            else:
                future = self._peers.fence(
                    ask.member, ask.service, ask.target, ask.epoch
                )
                future.add_done_callback(lambda f, ask=ask: self._fence_reply(ask, f))

    def _fence_reply(self, ask, future):
        answer = None if future.cancelled() else future.result()
        if answer is not None:
            remaining_ms = int(answer.remaining_s * 1000)
            self._inbox.put(_FenceReply(ask, answer.fenced, remaining_ms))
            self._wake.set()

    @_process.register
    def _(self, item: _FenceReply, now):
        ask = item.ask
        retire = self._rounds.answered(
            ask.member, ask, item.fenced, item.remaining_ms, now
        )
        if retire is not None:
            self._log.say(
                "retiring a silent target",
                service=retire.service,
                target=retire.target,
                epoch=retire.epoch,
            )
            change = RetireTarget(
                retire.service, retire.target, retire.epoch, "its lease ran out"
            )
            self._propose(change)

    def _propose(self, change):
        try:
            future = self._consensus.propose(
                encode_command(Command(change, self._clock.unix_s()))
            )
        except TamarackhavenError as error:
            self._log.say("proposal refused", code=error.kind.value)
            return None
        # Run the next step of a placement as soon as this one is committed.
        future.add_done_callback(lambda _: self._wake.set())
        return future

    def _retire_left_targets(self):
        """Retire targets that left and own no shards; these need no fence."""
        with self._machine.lock:
            state = self._machine.state
            left = [
                member
                for member in state.members
                if member.state is TargetState.LEAVING and not _owns_any(state, member)
            ]
        for member in left:
            key = member.service, member.target, member.epoch
            if not _is_running(self._retiring.get(key)):
                self._retiring[key] = self._propose(
                    RetireTarget(*key, "it left and owns nothing")
                )

    # --- placement --------------------------------------------------------------

    def _place(self, now):
        with self._machine.lock:
            state = self._machine.state
            version = state.version
            services = [
                service
                for service in state.services
                if self._is_due(service, now, version)
            ]
            steps = [
                (service, self._inputs(state, service, now)) for service in services
            ]
        for service, inputs in steps:
            step = plan(inputs, self._settings.placement)
            self._planned_by_service[service.name] = version, now
            self._record_holds(service, step, version)
            for change in step.changes():
                self._proposed_by_service[service.name] = self._propose(change)

    def _is_due(self, service, now, version):
        if _is_running(self._proposed_by_service.get(service.name)):
            return False
        planned, at = self._planned_by_service.get(service.name, (-1, 0.0))
        pause = (
            self._urgent_after_s
            if self._has_stopping_targets(service)
            else REPLAN_INTERVAL_S
        )
        return planned != version or now - at >= pause

    def _has_stopping_targets(self, service):
        return bool(self._stopping_since_by_service.get(service.name))

    def _urgent_targets(self, state, service, now):
        """Return the targets that will soon stop although they still own shards.

        They are leaving or in a zone that is out, and half of the time has passed for
        which they still serve the shards that haven't moved.
        """
        stopping = {
            member.target
            for member in state.members
            if member.service == service.name and _is_stopping(state, member)
        }
        since = self._stopping_since_by_service.get(service.name, {})
        since = {target: since.get(target, now) for target in stopping}
        self._stopping_since_by_service[service.name] = since
        late = now - self._urgent_after_s
        return frozenset(target for target, at in since.items() if at <= late)

    def _inputs(self, state, service, now):
        reports = self._report_by_target
        return PlacementInputs(
            service=service,
            policy=state.resource("OwnershipPolicy", service.policy),
            zones_by_name={zone.name: zone for zone in state.zones},
            members=state.members,
            grants_by_shard=dict(state.grants(service.name)),
            urgent_targets=self._urgent_targets(state, service, now),
            fixed_shards=self._cold_shards_by_service.get(service.name, frozenset()),
            warmth_by_target={
                report.target: COLD_WARMTH_FRACTION
                for report in reports.values()
                if report.service == service.name and report.cold
            },
        )

    def _record_holds(self, service, step, version):
        if step.holds == self._holds_by_service.get(service.name, []):
            return
        self._holds_by_service[service.name] = step.holds
        for hold in step.holds:
            self._refused += 1
            self.refusals.add(
                Decision(
                    f"p{self._refused}",
                    version,
                    self._clock.unix_s(),
                    service.name,
                    hold.cause.value,
                    f"{hold.count} shards not moved, shard {hold.shard} first",
                    [hold.shard],
                )
            )

    # --- hot keys ---------------------------------------------------------------

    def _pin(self, now):
        if now - self._pinned_at_s < PIN_INTERVAL_S:
            return
        self._pinned_at_s = now
        with self._machine.lock:
            state = self._machine.state
            rows = [
                (
                    service,
                    state.resource("OwnershipPolicy", service.policy),
                    dict(state.grants(service.name)),
                )
                for service in state.services
            ]
        for service, policy, grants in rows:
            moving = sum(bool(grant.moving_to) for grant in grants.values())
            max_moves = policy.move_batch - moving
            decision = self._pins.decide(service, policy, grants, now, max_moves)
            self._cold_shards_by_service[service.name] = decision.cold_shards
            for change in decision.changes:
                self._propose(change)
            if decision.moves:
                self._propose(
                    MoveShards(service.name, decision.moves, "pin no longer hot")
                )

    def report(self, report):
        """Queue a daemon's ``LoadReport`` for the next step."""
        if self._consensus.status().role is Role.LEADER:
            self._inbox.put(report)

    @_process.register
    def _(self, item: LoadReport, now):
        self._report_by_target[item.service, item.target] = item
        self._pins.report(item, now)

    # --- checks before a proposal -----------------------------------------------

    def checked_join(self, change):
        """Return a ``JoinTarget`` that may be proposed.

        The name is also checked before the log, so that a process that retries again
        and again adds no log entries.

        Raises
        ------
        TamarackhavenError
            NAME_CLAIMED until the other process with that name is retired.
        """
        with self._machine.lock:
            old = self._machine.state.member(change.service, change.target)
        if old is None or old.instance == change.instance:
            return change
        if old.state is not TargetState.LOST:
            raise TamarackhavenError(
                ErrorKind.NAME_CLAIMED,
                f"{change.target!r} is held by instance {old.instance!r}.",
                self._settings.lease.lease_ms / 1000,
            )
        return change

    def check_membership_step(self, step):
        """Refuse a membership change while leases under an older one may hold.

        Raises
        ------
        TamarackhavenError
            NO_QUORUM until those leases have ended.
        """
        if not self._leases.ready_for_membership_change():
            raise TamarackhavenError(
                ErrorKind.NO_QUORUM,
                "The last membership change is less than a lease ago.",
            )


def _is_stopping(state, member):
    if member.state is TargetState.LEAVING:
        return True
    zone = state.resource("AvailabilityZone", member.zone)
    is_out = zone is not None and zone.state is ZoneState.OUT
    return is_out and member.state is TargetState.ACTIVE


def _owns_any(state, member):
    grants = state.grants(member.service).values()
    return any(grant.owner == member.target for grant in grants)


def _is_running(future):
    return future is not None and not future.done()
