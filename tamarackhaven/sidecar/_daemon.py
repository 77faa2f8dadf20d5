"""Assembles a daemon: its servers and parts, and how it starts and stops."""

import asyncio
import os

from tamarackhaven._clock import boot_s
from tamarackhaven.fleet import split
from tamarackhaven.fleet._messages import (
    DaemonHello,
    KeysView,
    Report,
    SuspectsView,
)
from tamarackhaven.fleet._model import TargetPhase
from tamarackhaven.net import (
    HEARTBEAT_LIMITS,
    PROBE_LIMITS,
    HttpResponse,
    HttpServer,
    LinkServer,
    listen,
)
from tamarackhaven.routing import Limits
from tamarackhaven.sidecar._call_client import CallClient
from tamarackhaven.sidecar._callers import Callers
from tamarackhaven.sidecar._control_link import ControlLink
from tamarackhaven.sidecar._daemon_gauges import DaemonGauges
from tamarackhaven.sidecar._end_notices import EndNotices
from tamarackhaven.sidecar._heartbeat_order import Order
from tamarackhaven.sidecar._inbound import Inbound
from tamarackhaven.sidecar._key_calls import KeyCalls
from tamarackhaven.sidecar._leaves import Leaves
from tamarackhaven.sidecar._messages import PEER_CODEC
from tamarackhaven.sidecar._peer_server import PeerServer
from tamarackhaven.sidecar._peers import Peers
from tamarackhaven.sidecar._permits import Permits
from tamarackhaven.sidecar._runs import Runs
from tamarackhaven.sidecar._suspects import KnownSuspects
from tamarackhaven.sidecar._target_client import TargetClient
from tamarackhaven.sidecar._target_state import TargetState
from tamarackhaven.sidecar._view import View
from tamarackhaven.sidecar._view_updates import ViewUpdates

# The platform checks readiness once a second, and callers stop using
# the daemon after two failed checks. Requests that arrive until then are still served.
MIN_STOP_S = 2.6
# This last part of the grace time is left for the process to exit by itself.
EXIT_MARGIN_S = 0.4
# After the last request of a caller, others may still be in flight for this long. By
# then other daemons have been notified that this one accepts no new requests.
CALLER_QUIET_S = 0.3
TARGET_QUIET_S = 0.05
STOP_POLL_INTERVAL_S = 0.05


class Daemon:
    """The daemon beside one target; everything runs on one event loop.

    Parameters
    ----------
    settings : DaemonSettings
        Checked settings.
    dialect : Dialect
        Reads and writes the headers of callers and targets.
    registry : callable
        ``registry(daemon)`` returns the HTTP handler of the target's heartbeats.
    log : Log
        Log of the process.
    metrics : Metrics
        Metrics of the process.
    """

    def __init__(self, settings, dialect, registry, log, metrics):
        self.settings = settings
        self.log = log
        self.metrics = metrics
        boot = os.urandom(8).hex()
        host, port = split(settings.links)
        self._address = host, port
        self.view = View()
        self.state = TargetState(settings, host, port)
        client = TargetClient(*split(settings.target))
        self.suspects = KnownSuspects()
        self.inbound = Inbound(
            settings,
            self.state,
            self.view,
            dialect,
            client,
            self.suspects,
            log.part("gate"),
            metrics,
        )
        self._key_calls = KeyCalls(
            self.state,
            CallClient(*split(settings.target)),
            dialect,
            log.part("keys"),
            metrics,
            self.inbound.wake_key_waiters,
            lambda: self._control.report_now(),
        )
        self._runs = Runs(self.inbound)
        self._peers = Peers(boot)
        self._peer_server = PeerServer(boot, self._runs, self.inbound.intake)
        self._link_server = LinkServer(
            PEER_CODEC, self._peer_server.on_message, self._peer_server.on_closed
        )
        self._permits = Permits(self.suspects, self.view, log.part("caller"), metrics)
        self._caller_requests = Callers(
            settings,
            self.view,
            self.state,
            dialect,
            self._runs,
            self._peers,
            self.suspects,
            self._permits,
            log.part("caller"),
            metrics,
        )
        self._caller_server = HttpServer(
            self._caller_requests.handle,
            self._on_error,
            Limits(),
            self._on_bad_request,
        )
        self._caller_server.checked_refusal = self._caller_requests.confirmed_refusal
        self._readiness_server = HttpServer(
            self._handle_readiness, self._on_error, PROBE_LIMITS
        )
        self._registry_server = HttpServer(
            registry(self), self._on_error, HEARTBEAT_LIMITS, self.reject_heartbeat
        )
        self._control = ControlLink(
            lambda: DaemonHello(settings.links, boot),
            self._report,
            self._apply_view_message,
            self._apply_grant,
            self._seeds,
            log.part("control"),
        )
        self._view_updates = ViewUpdates(
            self.view, self._control.report_now, log, metrics
        )
        self._leaves = Leaves(self._control.report_now, log, metrics)
        self._control.on_session_begun = self._view_updates.begin_session
        self._control.view_fields = lambda: self.view.configuration_stamp(
            boot_s()
        ).log_fields()
        self._view_updates.on_taken = self._control.send
        gauges = DaemonGauges(
            self.state,
            self.inbound,
            self.view,
            self._view_updates,
            self._link_server,
            self._peers,
            metrics,
        )
        metrics.add_source(gauges.update)
        self._tasks = []
        self._is_leaving = False
        self._permits.report_now = self._control.report_now
        self.inbound.ends.on_end = self._on_target_end
        self._end_notices = EndNotices(self.suspects, self.view, log, metrics)
        self._end_notices.send_to_all = self._send_to_all_daemons
        self._end_notices.on_received = self._permits.notify_changed
        self._peers.on_target_ended = self._end_notices.receive
        self._peer_server.on_target_ended = self._end_notices.receive
        self.inbound.on_suspect_answered = self._permits.report_soon
        self.inbound.exchange.on_ended = self._control.report_now
        self.inbound.cold_checks.on_cold = self._control.report_now
        self.inbound.notices.on_leaving = self._on_target_leaving

    async def start(self):
        """Listen on all addresses and start to search for the leader.

        Raises
        ------
        TamarackhavenError
            PORT_TAKEN, with the name of the setting.
        """
        settings = self.settings
        links_address = split(settings.links_listen or settings.links)
        await listen(self._link_server, "links", *links_address)
        await listen(self._registry_server, "registry", *split(settings.registry))
        await listen(self._readiness_server, "readiness", *split(settings.readiness))
        await listen(self._caller_server, "callers", *split(settings.callers))
        self._tasks = [
            asyncio.create_task(self._control.run()),
            asyncio.create_task(self._key_calls.run()),
        ]
        self.log.say("started", zone=settings.zone, service=settings.service)

    def reload(self, settings):
        """Apply the settings that may change while the process runs."""
        self.settings = settings
        self.log.say("settings reloaded", seeds=settings.seeds)

    async def stop(self):
        """Stop: finish requests, wait until callers use other daemons, then close."""
        self._is_leaving = True
        started_s = boot_s()
        self.log.say("stopping", running=self.inbound.running)
        self._caller_server.is_closing = True
        self._peer_server.leave()
        stop_by_s = started_s + self.settings.grace_s - EXIT_MARGIN_S
        last_call_s = last_work_s = boot_s()
        while boot_s() < stop_by_s:
            now = boot_s()
            if self._caller_server.busy:
                last_call_s = now
            if self.inbound.running:
                last_work_s = now
            is_quiet = (
                now - last_call_s >= CALLER_QUIET_S
                and now - last_work_s >= TARGET_QUIET_S
            )
            if boot_s() - started_s >= MIN_STOP_S:
                self._refuse_new_requests()
                if is_quiet:
                    break
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        self.log.say(
            "stopped", after_s=round(boot_s() - started_s, 3), cut=self.inbound.running
        )
        for task in self._tasks:
            task.cancel()
        for server in (
            self._caller_server,
            self._readiness_server,
            self._registry_server,
            self._link_server,
        ):
            server.close()
        self._peers.close()
        self.inbound.close()

    def _refuse_new_requests(self):
        """Refuse all requests from now on.

        Callers that know no other daemon keep sending until the process has to exit,
        and the last requests would be cut off without an answer. Those accepted by now
        have the rest of the grace time, which is longer than the timeouts of routes.
        """
        self.inbound.is_closing = True
        self._caller_requests.is_closing = True
        self._caller_server.stop_listening()

    # Control group.

    def _seeds(self):
        _, port = self._address
        return [(split(seed)[0], port) for seed in self.settings.seeds]

    def _report(self, number):
        state = self.state
        now = boot_s()
        load = self.inbound.load()
        key_load, key_rest = self.inbound.key_load(now)
        known, refused_parts = self._view_updates.take_report()
        trials = self._permits.held() | self.inbound.running_suspects()
        load_per_slot = (load.running + load.waiting) / max(load.slots, 1)
        return Report(
            number=number,
            target=state.target(
                now, round(load_per_slot, 2), round(self.inbound.work_s, 4)
            ),
            holds=state.held(now),
            releases=state.releases,
            settled=state.settled,
            ended_lives=tuple(state.ended_lives),
            state_index=self.view.state_index,
            key_load=key_load,
            key_rest=key_rest,
            refused=state.refused,
            knows_holds=state.knows_holds(now),
            known=known,
            refused_parts=refused_parts,
            ends=self.suspects.own_ends(now),
            answers=self.suspects.take_answers(),
            trials=tuple(trials),
            wanted_trials=self._permits.wanted(number),
            is_behind=self._view_updates.is_behind,
            leaving=self._leaves.unrecorded(state.leaving_life),
        )

    def _apply_view_message(self, message):
        table_before = self.view.table
        zones_out_before = self.view.zones_out
        if not self._view_updates.apply(message):
            return
        if self.view.table is not table_before:
            self._on_configuration()
        if self._makes_target_owner(message):
            self._control.report_now()
        if isinstance(message, SuspectsView):
            self.suspects.apply(self.view.suspect_by_request)
            self._permits.notify_changed()
        self._apply_known_leaving()
        if self.view.zones_out != zones_out_before:
            self.log.say("zones out changed", zones=sorted(self.view.zones_out))
        self.inbound.apply_target_state()

    def _apply_known_leaving(self):
        """Mark the target as leaving if a former process of this daemon reported it.

        How long ago that was isn't known, so its keys have no time left either.
        """
        target = self.view.target_by_life.get(self.state.life)
        if target is None or not target.is_leaving:
            return
        if self.state.leave_life(target.life, float("-inf")):
            self.log.say("target leaves", name=target.name)

    def _makes_target_owner(self, message):
        """Whether a message makes the target beside this daemon the owner of keys.

        The lease on them is granted in answer to a report, and the next regular report
        is due only after some tenths of a second.
        """
        return isinstance(message, KeysView) and any(
            each.owner == self.state.life for each in message.ranges
        )

    def _on_configuration(self):
        configuration = self.view.table.configuration
        limits = configuration.limits
        self._caller_server.limits = limits
        service = self.view.table.service_by_name.get(self.settings.service)
        if service is not None:
            self.state.set_hold_orders(service.hold_orders)
        stamp = self.view.configuration_stamp(boot_s())
        self.log.say(
            "configuration taken",
            version=stamp.version,
            index=stamp.index,
            digest=stamp.digest,
            routes=len(configuration.routes),
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
            view_age_s=stamp.age_s,
        )

    def _apply_grant(self, grant, requested_s):
        self._view_updates.confirm(requested_s, grant.view)
        self.state.apply_grant(grant, requested_s)
        self._permits.apply_grant(grant, requested_s)
        self._leaves.apply_grant(grant)
        self.inbound.wake_key_waiters()
        self._key_calls.start_due_calls()

    # Target.

    async def heartbeat(self, beat):
        """Apply a heartbeat of the target; return its ``HeartbeatReply``.

        None if it mustn't be acknowledged: it says that the target leaves, and the
        control group hasn't recorded that.
        """
        named = await self._ask_name(beat) if self.state.needs_proof(beat) else None
        reply = self._apply_heartbeat(beat, named)
        if beat.phase is TargetPhase.DRAINING:
            life = self.state.life_named(beat.name, beat.born_ms)
            if not await self._leaves.wait_recorded(life):
                return None
        return reply

    async def _ask_name(self, beat):
        """Return the name that the target gives after a heartbeat, None without one.

        A heartbeat that names another target than the known one ends that one's life.
        It may come from another writer, or late from a target of before.
        """
        known_life = self.state.life
        checked = await self.inbound.health_checks.ask()
        named = checked.health.name if checked is not None else None
        self.log.say(
            "target asked for its name",
            name=beat.name,
            born_ms=beat.born_ms,
            named=named,
            known_life=known_life,
        )
        return named

    def _apply_heartbeat(self, beat, named):
        before = self.state.target(boot_s())
        order = self.state.heartbeat_order(beat, boot_s())
        reply = self.state.apply_heartbeat(beat, boot_s(), named)
        self._record_order(beat, order)
        if before is not None and before.life != self.state.life:
            self.inbound.ends.life_ended(before.life, "next life")
        self._apply_known_leaving()
        after = self.state.target(boot_s())
        self._key_calls.open_connections()
        self.inbound.wake_key_waiters()
        if before != after:
            self.log.say(
                "target told",
                life=self.state.life,
                phase=beat.phase.value,
                cold_s=round(beat.cold_s, 2),
                slots=beat.slots,
            )
        self.inbound.apply_target_state()
        if before != after or beat.releases or reply.ranges is None:
            self._control.report_now()
        return reply

    def _record_order(self, beat, order):
        """Count and log a heartbeat that isn't simply the next one of its target."""
        taken = self.state.heartbeat is beat
        if order is Order.NEWER and taken:
            return
        self.metrics.count(
            "tamarackhaven_heartbeats_out_of_order_total",
            order=order.value,
            taken="yes" if taken else "no",
        )
        known = self.state.heartbeat
        self.log.say(
            "heartbeat out of order",
            order=order.value,
            taken=taken,
            name=beat.name,
            born_ms=beat.born_ms,
            sequence=beat.sequence,
            known_life=self.state.life,
            known_sequence=known.sequence if known is not None else None,
        )

    def reject_heartbeat(self, error):
        """Count and log a call of the target that can't be read."""
        self.metrics.count(
            "tamarackhaven_heartbeats_rejected_total", kind=error.kind.name
        )
        self.log.say("heartbeat refused", kind=error.kind.name, detail=error.detail)

    async def mark_target_leaving(self, name, born_ms=None):
        """Mark the target as draining, since it announced that it leaves.

        ``born_ms`` is the start of the life that says so, None if it isn't known.

        Returns
        -------
        bool
            Whether that may be acknowledged: no process has to remember it any more.
        """
        is_present = self.state.leave(name, born_ms, boot_s())
        if is_present:
            self.log.say("target leaves", name=name)
            self._on_target_leaving()
        else:
            self.log.say("leave of another life", name=name, born_ms=born_ms)
        life = self.state.life_named(name, born_ms)
        if life is not None:
            return await self._leaves.wait_recorded(life)
        # One of another name that gives no start isn't the target that runs here. If
        # none is known yet, it may be, and nothing can be recorded.
        return not is_present

    def _on_target_end(self, life, requests):
        if life == self.state.life:
            self.state.suspect_end()
        digests = [each.digest for each in requests]
        self.suspects.record_end(life, digests, boot_s())
        self._end_notices.announce(life, digests)
        self._permits.notify_changed()
        self._control.report_now()

    def _send_to_all_daemons(self, message):
        self._peer_server.send_to_all(message)
        self._peers.send_to_all(message)

    def _on_target_leaving(self):
        self.inbound.apply_target_state()
        self._control.report_now()

    # HTTP servers.

    async def _handle_readiness(self, _request):
        is_ready = self.view.table is not None and not self._is_leaving
        return HttpResponse(200 if is_ready else 503)

    def _on_error(self, request, error):
        self.metrics.count("tamarackhaven_internal_errors_total")
        self.log.say("internal error", error=repr(error))

    def _on_bad_request(self, error):
        self.metrics.count("tamarackhaven_refusals_total", kind=error.kind.name)
        self.log.say("bad request", kind=error.kind.name, detail=error.detail)
