"""One control VM of a fleet: consensus, operators' orders, and daemons' leases."""

import asyncio
import functools
import os
import random
from pathlib import Path

from tamarackhaven._clock import boot_s
from tamarackhaven._consensus import Consensus
from tamarackhaven._members import Membership
from tamarackhaven._raft import Role
from tamarackhaven._settings import RaftSettings
from tamarackhaven._storage import Storage
from tamarackhaven.errors import ErrorKind, TamarackhavenError
from tamarackhaven.fleet import _growth
from tamarackhaven.fleet._daemon_sessions import DaemonSessions
from tamarackhaven.fleet._group_keeper import MembershipManager
from tamarackhaven.fleet._group_links import GroupLinks
from tamarackhaven.fleet._group_log import GroupLog
from tamarackhaven.fleet._leader_hints import LeaderHints
from tamarackhaven.fleet._leadership import Leadership
from tamarackhaven.fleet._leaving import RecordLeaving
from tamarackhaven.fleet._machine import FleetMachine
from tamarackhaven.fleet._messages import (
    CONTROL_CODEC,
    ConsensusBatch,
    DaemonHello,
    JoinGroup,
    LeaderHint,
    MemberHello,
    Report,
    UpdateTaken,
)
from tamarackhaven.fleet._orders import Orders
from tamarackhaven.fleet._report_answers import ReportAnswers
from tamarackhaven.fleet._settings import split
from tamarackhaven.fleet._state import encode
from tamarackhaven.fleet._state_log import StateLog
from tamarackhaven.fleet._suspects import UpdateSuspects
from tamarackhaven.net import LinkServer, listen

# Heartbeats cross zones in a millisecond. Followers start an election after a leader
# has missed five of them.
RAFT_SETTINGS = RaftSettings(heartbeat_ms=100, election_ms=500, first_election_ms=200)
# Interval of the checks for due changes of targets, keys and members.
TICK_INTERVAL_S = 0.1
READ_TIMEOUT_S = 1.0
# Releases arrive one by one from many daemons, and checking all targets and keys for
# each would saturate the leader's CPU. The delay is short compared with the time that
# moving keys takes.
MIN_DECISION_INTERVAL_S = 0.02


class FleetControl:
    """A control VM's process, running on one event loop.

    Consensus and its disk use a separate thread, so that a slow disk delays no answer
    that doesn't need it.

    Parameters
    ----------
    settings : FleetControlSettings
        Checked settings.
    log : Log
        Of the part ``control``.
    metrics : Metrics
        Of the process.
    on_fatal : callable
        ``on_fatal(error)``, called on any thread once this member can't continue.
    """

    def __init__(self, settings, log, metrics, on_fatal):
        # As last read from the file; ``_settings`` stays as the process was started.
        self.settings = settings
        self._settings = settings
        self._log = log
        self._metrics = metrics
        self._on_fatal = on_fatal
        self._host, self._port = split(settings.links)
        self._required_voters = _growth.count_required_voters(settings.tolerated_losses)
        self._sessions = DaemonSessions(log, metrics)
        self._last_decision_s = float("-inf")
        self._decision_timer = None
        self._leadership = None
        self._confirming_term = None
        self._last_role = (None, "", 0)
        self._tasks = []
        self._loop = None
        self.consensus = None
        self.machine = FleetMachine(self._on_applied)
        self._state_log = StateLog(self.machine, log, metrics)
        self._group_log = GroupLog(self._required_voters, log, metrics)
        self._answers = ReportAnswers(
            self.read,
            self.leadership_in_force,
            self.machine,
            self._sessions,
            metrics,
        )
        founding = _growth.Founding(self._required_voters, boot_s())
        self.orders = Orders(self, founding, self._sessions, log, metrics)
        self._hints = LeaderHints(
            self.read,
            self.leadership_in_force,
            self._make_hint,
            self._sessions.register,
        )
        self._links = None
        self._membership_manager = None
        self._server = LinkServer(CONTROL_CODEC, self._on_message, self._on_closed)

    # Start and stop.

    async def start(self):
        """Start the consensus member and listen for links.

        Raises
        ------
        TamarackhavenError
            PORT_TAKEN, or an error of the storage.
        """
        self._loop = asyncio.get_running_loop()
        self._metrics.add_source(self._state_log.update_gauges)
        self._metrics.add_source(self.orders.acknowledgements.update_gauges)
        storage = Storage.open(Path(self._settings.data_folder) / "group")
        name, membership = self._identity(storage)
        hello = MemberHello(name, self._host, self._port)
        self._links = GroupLinks(hello, self._on_hint)
        for member in membership.members:
            self._links.set_address(member.name, member.host, member.port)
        self.consensus = Consensus(
            name,
            RAFT_SETTINGS,
            storage,
            membership,
            self._send_consensus,
            self.machine,
            boot_s,
            random.Random(os.urandom(16)),
            self._on_fatal,
        )
        self._membership_manager = MembershipManager(
            self._settings,
            self._required_voters,
            self.consensus,
            self._links,
            self._log,
            boot_s(),
        )
        address = split(self._settings.links_listen or self._settings.links)
        await listen(self._server, "links", *address)
        self.consensus.start()
        for duty in (self._tick, self._keep_group):
            self._tasks.append(self._loop.create_task(self._repeat(duty)))
        self._log.say(
            "started",
            member=name,
            founder=bool(membership.members),
        )

    def _identity(self, storage):
        """Return this member's name and the membership that it starts with."""
        if not storage.is_new:
            return storage.identity.name, Membership(())
        seeds = [(split(seed)[0], self._port) for seed in self._settings.seeds]
        own = (self._host, self._port)
        if self._settings.is_first_start and own in seeds:
            return f"{self._host}:{self._port}", _growth.founders(sorted(seeds))
        # A VM that lost its disk and rejoined under its old name might vote twice in a
        # term, which could lose an acknowledged change. So an empty disk gets a random
        # name that has never voted.
        return f"{self._host}:{self._port}/{os.urandom(6).hex()}", Membership(())

    def reload(self, settings):
        """Apply new seeds, the only setting that may change at run time."""
        self.settings = settings
        self._membership_manager.reload(settings)
        self._log.say("settings reloaded", seeds=settings.seeds)

    async def stop(self):
        """Stop everything this process started."""
        for task in self._tasks:
            task.cancel()
        self._server.close()
        if self._links is not None:
            self._links.close()
        if self.consensus is not None:
            await self._loop.run_in_executor(None, self.consensus.stop)
        self._log.say("stopped")

    # Consensus.

    def _send_consensus(self, messages):
        self._loop.call_soon_threadsafe(self._links.send, messages)

    def _on_applied(self, index, command, outcome):
        if self._loop is not None:
            self._loop.call_soon_threadsafe(self._after_apply, index, command, outcome)

    def _after_apply(self, index, command, outcome):
        if command is not None and outcome is not None:
            kind = outcome.kind.name if outcome.kind else "APPLIED"
            self._metrics.count(
                "tamarackhaven_fleet_commands_total",
                command=type(command).__name__,
                outcome=kind,
            )
            self._log.say(
                "command applied",
                index=index,
                command=type(command).__name__,
                outcome=kind,
                detail=outcome.detail or getattr(command, "cause", ""),
            )
        self._send_state_updates()
        self.orders.acknowledgements.record_applied()
        if not self.leads:
            return
        self._state_log.log_configuration(index, len(self._sessions))
        if isinstance(command, UpdateSuspects):
            self._state_log.log_suspects()

    @property
    def leads(self):
        """Whether this member leads and has confirmed that once in this term.

        A member that loses and regains leadership between two checks must not grant or
        move keys by the leases of its former term, because another leader may have
        granted keys since. So a ``Leadership`` is valid only in its own term.
        """
        if self._leadership is None:
            return False
        status = self.consensus.status()
        return status.role is Role.LEADER and status.term == self._leadership.term

    def leadership_in_force(self):
        """Return the ``Leadership`` while this member leads, else None."""
        return self._leadership if self.leads else None

    # Messages.

    def _on_message(self, link, message):
        if isinstance(message, ConsensusBatch):
            self.consensus.deliver(self._links.receive(message.messages))
        elif isinstance(message, MemberHello):
            self._links.set_address(message.name, message.host, message.port)
            self._membership_manager.add_addresses([(message.host, message.port)])
        elif isinstance(message, JoinGroup):
            link.send(self._membership_manager.handle_join_request(message, boot_s()))
        elif isinstance(message, DaemonHello):
            self._hints.add(link, message)
        elif isinstance(message, Report):
            self._on_report(link, message)
        elif isinstance(message, UpdateTaken):
            self._sessions.record_taken(link, message.part, message.index)

    def _on_hint(self, hint):
        self._membership_manager.add_addresses(hint.control)

    def _on_closed(self, link):
        self._hints.close(link)
        self._sessions.close(link)

    def _make_hint(self, is_leader):
        status = self.consensus.status()
        leader = status.membership.by_name.get(status.leader)
        address = (leader.host, leader.port) if leader else None
        control = (*self._membership_manager.addresses, (self._host, self._port))
        return LeaderHint(is_leader, status.term, address, control)

    # Leases.

    def _on_report(self, link, report):
        if not self.leads or link not in self._sessions:
            link.abort()
            return
        directory = self._leadership.directory
        self._answers.add(link, report)
        daemon = self._sessions.daemon(link)
        with self.machine.lock:
            leaving = self.machine.state.leaving
            target = report.target
            is_leaving = target is not None and target.life in leaving
            directory.record(report, boot_s(), is_leaving)
            is_due = self._leadership.trials.record(
                daemon, report, self.machine.state, boot_s()
            )
            is_due |= self._leadership.leaves.record(report.leaving, leaving)
            self._sessions.record_report(
                link, report, self.machine.state, directory.targets_view
            )
        self._send_targets_update()
        if report.releases or report.ended_lives or is_due:
            self._schedule_decision()

    async def read(self):
        """Return once a quorum has confirmed that this member leads.

        Raises
        ------
        TamarackhavenError
            NO_QUORUM if none does in time, or an error of the member.
        """
        future = asyncio.wrap_future(self.consensus.read())
        try:
            return await asyncio.wait_for(future, READ_TIMEOUT_S)
        except TimeoutError as error:
            raise TamarackhavenError(
                ErrorKind.NO_QUORUM, "no quorum confirmed the leader in time", 0.2
            ) from error

    # Updates for daemons.

    def _send_state_updates(self):
        if not self._sessions:
            return
        with self.machine.lock:
            self._sessions.send_updates(self.machine.state)

    def _send_targets_update(self):
        view = self._leadership.directory.take_targets_update()
        if view is None:
            return
        for target in view.targets:
            self._log.say(
                "target changed",
                life=target.life,
                service=target.service,
                zone=target.zone,
                phase=target.phase.value,
            )
        for life in view.gone:
            self._log.say("target gone", life=life)
        self._sessions.send_to_all(view)

    # Periodic work.

    async def _repeat(self, duty):
        """Perform a duty at each interval; a failure of one doesn't stop others."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            try:
                await duty()
            except Exception as error:
                # A bug in one task must not stop the others permanently.
                self._log.say("duty failed", error=repr(error))

    async def _tick(self):
        status = self.consensus.status()
        self._update_role(status)
        if status.role is not Role.LEADER:
            return
        if self._leadership is None:
            self._start_confirming(status.term)
            return
        self._decide()

    async def _keep_group(self):
        status = self.consensus.status()
        now = boot_s()
        manager = self._membership_manager
        self._group_log.record(status, manager.silent_voters(status, now))
        for member in status.membership.members:
            self._links.set_address(member.name, member.host, member.port)
        if status.role is not Role.LEADER:
            manager.ask_to_join(status, now)
        elif self.leads:
            await manager.make_due_changes(now)

    def _update_role(self, status):
        role = (status.role, status.leader, status.term)
        if role != self._last_role:
            self._last_role = role
            self._log.say(
                "role changed",
                role=status.role.value,
                leader=status.leader,
                term=status.term,
            )
            self._hints.announce(is_leader=False)
        if self._leadership is not None and not self.leads:
            self._leadership = None
            self._sessions.abort_all()

    def _start_confirming(self, term):
        if self._confirming_term != term:
            self._confirming_term = term
            self._tasks.append(self._loop.create_task(self._confirm_leadership(term)))

    async def _confirm_leadership(self, term):
        try:
            await self.read()
        except TamarackhavenError:
            self._confirming_term = None
            return
        if self.consensus.status().term != term:
            return
        now = boot_s()
        self._leadership = Leadership(term, self._settings.lease.lease_s, now)
        self._metrics.count("tamarackhaven_fleet_leaderships_total")
        self._log.say("leads", term=term)
        self._hints.announce(is_leader=True)

    def _schedule_decision(self):
        """Decide as soon as ``MIN_DECISION_INTERVAL_S`` has passed since the last time.

        Later calls until then have no further effect.
        """
        if self._decision_timer is None:
            wait_s = max(
                self._last_decision_s + MIN_DECISION_INTERVAL_S - boot_s(), 0.0
            )
            self._decision_timer = self._loop.call_later(wait_s, self._decide)

    def _decide(self):
        if self._decision_timer is not None:
            self._decision_timer.cancel()
            self._decision_timer = None
        if not self.leads:
            return
        leadership = self._leadership
        self._last_decision_s = boot_s()
        with self.machine.lock:
            commands = leadership.tick(self.machine.state, boot_s())
            update = leadership.trials.update(self.machine.state, boot_s())
        updates = update, leadership.leaves.update()
        commands += [each for each in updates if each is not None]
        for command in commands:
            future = self.consensus.propose(encode(command), leadership.term)
            future.add_done_callback(
                functools.partial(self._on_proposal_done, leadership, command)
            )
        self._metrics.gauge(
            "tamarackhaven_fleet_changes_undecided", leadership.undecided_count
        )

    def _on_proposal_done(self, leadership, command, future):
        """Pass a proposal's outcome to the event loop; runs on the member's thread."""
        error = future.exception()
        if error is None:
            is_void = future.result().kind is not None
        else:
            # A change that may still commit stays open for the rest of the term.
            kind = getattr(error, "kind", ErrorKind.INTERNAL)
            is_void = kind is not ErrorKind.CHANGE_UNCONFIRMED
        self._loop.call_soon_threadsafe(
            self._on_proposal_outcome, leadership, command, is_void
        )

    def _on_proposal_outcome(self, leadership, command, is_void):
        if isinstance(command, UpdateSuspects):
            leadership.trials.close(command, is_void)
        elif isinstance(command, RecordLeaving):
            leadership.leaves.close(command)
        elif is_void:
            leadership.discard_change(command)
        self._schedule_decision()
