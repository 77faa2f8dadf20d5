"""Runs requests at the target: checks the key, waits at the gate, sends."""

import asyncio
import itertools
import random

import attrs

from tamarackhaven._clock import boot_s
from tamarackhaven.errors import ErrorKind
from tamarackhaven.fleet._suspects import SuspectPhase
from tamarackhaven.sidecar._cold_checks import ColdChecks
from tamarackhaven.sidecar._cold_starts import cold_limits
from tamarackhaven.sidecar._gate import Gate, Offer, Refuse, Start
from tamarackhaven.sidecar._health_checks import HealthChecks
from tamarackhaven.sidecar._intake import BodyReceiver
from tamarackhaven.sidecar._key_load import KeyLoad
from tamarackhaven.sidecar._messages import Answered, GateLoad
from tamarackhaven.sidecar._pulse import ChangeSignal
from tamarackhaven.sidecar._results import Results
from tamarackhaven.sidecar._target_ends import TargetEnds
from tamarackhaven.sidecar._target_exchange import TargetExchange
from tamarackhaven.sidecar._target_notices import TargetNotices

# An owner in a zone that is out serves its keys for this fraction of the allowed time.
# The rest covers a daemon that is notified late.
ZONE_GRACE_FRACTION = 0.4
# A request whose key the target is about to be told to hold checks for it at this
# interval, and whenever the target may have been told to hold keys.
KEY_POLL_INTERVAL_S = 0.1
# While a daemon is cut off from the control VMs, the lease on its target's new keys
# doesn't arrive. Callers for these keys wait for at most this fraction of the time
# left.
KEY_WAIT_FRACTION = 0.5
# The gate is checked at this interval even when nothing else happens, so that requests
# that can no longer start in time are refused.
SETTLE_INTERVAL_S = 0.05


class Inbound:
    """Runs requests at the target beside this daemon.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the daemon.
    state : TargetState
        State of the target.
    view : View
        Configuration, owners of keys and targets, as received from the control group.
    dialect : Dialect
        Writes headers for the target and interprets its replies.
    client : TargetClient
        Connections to the target.
    suspects : KnownSuspects
        Requests that may run only with a permit, or not at all.
    log : Log
        Log of the part ``gate``.
    metrics : Metrics
        Metrics of the process.
    """

    def __init__(self, settings, state, view, dialect, client, suspects, log, metrics):
        self._settings = settings
        self._state = state
        self._view = view
        self._suspects = suspects
        self._gate = Gate(1, random.random, boot_s())
        self.intake = BodyReceiver(self._gate, metrics)
        self._results = Results(self.load, self._log_context, log, metrics)
        self.notices = TargetNotices(state, dialect, log, metrics)
        self.ends = TargetEnds(client, log, metrics)
        self.exchange = TargetExchange(
            state,
            dialect,
            client,
            self.load,
            self._results,
            self.notices,
            self.ends,
            metrics,
        )
        self.health_checks = HealthChecks(
            client, dialect, lambda: view.health_path(settings.service), metrics
        )
        self.cold_checks = ColdChecks(
            self._gate.cold, state, self.health_checks, log, self.apply_target_state
        )
        self._future_by_number = {}
        self._offer_numbers = itertools.count()
        self._sending = set()
        self._has_trial = False
        self.on_suspect_answered = lambda: None
        self._key_load = KeyLoad()
        self._keys_changed = ChangeSignal()
        self._settle_timer = None
        # Requests for this target's keys keep arriving until the process has to exit,
        # and those that run at that moment would be cut off. So nothing new starts in
        # the last part of the grace time; callers wait for the next process.
        self.is_closing = False

    @property
    def running(self):
        """Number of requests that wait at the gate or run at the target."""
        return self._gate.running + self._gate.waiting

    @property
    def work_s(self):
        """Mean time of the target's recent answers, in seconds; 0 before the first."""
        return self._gate.work_s if self._gate.has_worked else 0.0

    def load(self, route=""):
        """Return the ``GateLoad`` for callers' daemons, for requests of ``route``."""
        gate = self._gate
        now = boot_s()
        return GateLoad(
            gate.running,
            gate.waiting,
            gate.slots,
            gate.route_work_s(route) * 1000,
            self._state.is_cold(now),
            self.intake.remaining_bytes,
            self.intake.bytes_per_s,
            round(gate.limit_wait_s(now), 3),
        )

    def key_load(self, now):
        """Return the requests per second for keys, as ``KeyLoad.rates`` does."""
        return self._key_load.rates(now)

    def apply_target_state(self):
        """Apply the slots and the cold state that the target reported."""
        beat = self._state.heartbeat
        if beat is not None:
            self._gate.slots = max(beat.slots, 1)
        self._update_limits()
        self._apply(self._gate.settle(boot_s()))

    def wake_key_waiters(self):
        """Wake requests that wait for a key the target may have been told to hold."""
        self._keys_changed.notify_all()

    def _update_limits(self):
        """Apply what the target bears while cold, and the limit that it named."""
        now = boot_s()
        service = self._view.service(self._state.heartbeat)
        self._gate.cold.limits = cold_limits(
            service, self._settings.cold, self._state.is_cold(now)
        )
        self._gate.set_limit(self._state.limit.start_rate_per_s, now)

    def expected_wait_s(self, query):
        """Estimate the wait of a request in seconds, None if none is accepted."""
        is_open = self._state.accepts_new(False, boot_s()) and not self.is_closing
        if not is_open or self._view.zone_out_since_s(self._settings.zone) is not None:
            return None
        self._update_limits()
        now = boot_s()
        objective_s = now + query.objective_ms / 1000
        offer = Offer(0, query.route, query.priority, objective_s, objective_s)
        wait_s = self._gate.expected_wait_s(offer, now)
        if query.body_bytes:
            wait_s = max(wait_s, self.intake.expected_s(query.body_bytes, offer))
        return wait_s

    def is_sending(self, forward):
        """Whether a request has been sent to the target and not answered yet."""
        return id(forward) in self._sending

    # One request.

    async def run(self, forward, incoming=None):
        """Run a request; return ``Answered``, ``NotRun`` or ``Lost``.

        Parameters
        ----------
        forward : Forward
            The request.
        incoming : IncomingBody or None
            Its body, if that has yet to come.
        """
        if forward.key >= 0:
            self._key_load.count(forward.key, boot_s())
        self.notices.apply_peer_limit(forward)
        deadline_s = boot_s() + forward.left_ms / 1000
        objective_s = boot_s() + forward.objective_ms / 1000
        refusal = await self._refusal_kind(forward, deadline_s)
        if refusal is not None:
            return self._results.not_run(forward, refusal)
        number = next(self._offer_numbers)
        offer = Offer(
            number,
            forward.route,
            forward.priority,
            objective_s,
            deadline_s,
            forward.waits,
            forward.key,
        )
        body = forward.body
        transfer_start_s = boot_s()
        if incoming is not None:
            body = await self._receive_body(incoming, offer)
            if isinstance(body, Refuse):
                return self._gate_refusal(forward, body)
        offered_s = boot_s()
        gate_refusal = await self._wait_for_start(offer)
        waited_s = boot_s() - offered_s
        if gate_refusal is not None:
            return self._gate_refusal(forward, gate_refusal)
        # The target may have begun to leave, or lost the key, while the request waited.
        refusal = (
            self._closed_kind(forward)
            or self._not_held_kind(forward)
            or self._suspect_kind(forward)
        )
        if refusal is not None:
            self._apply(self._gate.finish(number, False, boot_s()))
            return self._results.not_run(forward, refusal)
        has_answered = False
        self._sending.add(id(forward))
        self._has_trial |= forward.has_permit
        try:
            result = await self.exchange.send(forward, body, deadline_s)
            has_answered = isinstance(result, Answered)
            if has_answered:
                self._record_answer(forward)
                return attrs.evolve(
                    result,
                    waited_ms=round(waited_s * 1000, 1),
                    brought_ms=round((offered_s - transfer_start_s) * 1000, 1),
                )
            return result
        finally:
            self._sending.discard(id(forward))
            if forward.has_permit:
                self._has_trial = False
            self._update_limits()
            self._apply(self._gate.finish(number, has_answered, boot_s()))

    async def _receive_body(self, incoming, offer):
        """Receive a request's body; return it, or a ``Refuse`` before it is sent."""
        self._update_limits()
        transfer_s = self.intake.expected_s(incoming.size, offer)
        has_other_arrivals = self.intake.remaining_bytes > 0
        gate_refusal = self._gate.refuse_early(
            offer, transfer_s, has_other_arrivals, boot_s()
        )
        if gate_refusal is not None:
            return gate_refusal
        return await self.intake.receive(incoming, offer)

    async def _refusal_kind(self, forward, deadline_s):
        """Return the ``ErrorKind`` why the target must not get the request, or None."""
        kind = self._closed_kind(forward) or self._suspect_kind(forward)
        if kind is not None or forward.key < 0:
            return kind
        now = boot_s()
        wait_until_s = now + KEY_WAIT_FRACTION * (deadline_s - now)
        while not self._state.holds(forward.key, boot_s()):
            # The target is told to hold an arriving key within a heartbeat. After a
            # refusal the caller would stay away for longer than that.
            if not self._is_key_arriving(forward):
                return ErrorKind.NOT_OWNER
            if boot_s() + KEY_POLL_INTERVAL_S >= wait_until_s:
                return ErrorKind.MOVING
            await self._keys_changed.wait(KEY_POLL_INTERVAL_S)
            if self._closed_kind(forward) is not None:
                break
        return self._closed_kind(forward)

    def _is_key_arriving(self, forward):
        """Whether the target is about to be told to hold a request's key.

        This daemon may have received the new owner, but not yet the lease. A lease that
        is based on the same owners and omits the key means that the key is moving away.
        """
        if self._state.is_granted(forward.key, boot_s()):
            return True
        owner = self._view.owner(forward.service, forward.key)
        is_own = owner is not None and owner.life == self._state.life
        known_index = self._view.keys_index(forward.service)
        return is_own and self._state.keys_index < known_index

    def _not_held_kind(self, forward):
        held = forward.key < 0 or self._state.holds(forward.key, boot_s())
        return None if held else ErrorKind.NOT_OWNER

    def _closed_kind(self, forward):
        state = self._state
        if self.is_closing:
            return ErrorKind.DRAINING
        if forward.life != state.life:
            return ErrorKind.TARGET_UNREACHABLE
        if not state.accepts_new(forward.key >= 0, boot_s()):
            return ErrorKind.DRAINING
        if self._is_zone_closed(forward):
            return ErrorKind.ZONE_OUT
        return None

    def _suspect_kind(self, forward):
        """Return the ``ErrorKind`` why a suspect must not run now, else None.

        If two suspects ran here at once and the target ended, it would count as an end
        under both, also under the innocent one.
        """
        phase = self._suspects.phase(forward.digest, boot_s())
        if phase is SuspectPhase.QUARANTINED:
            return ErrorKind.REQUEST_QUARANTINED
        if phase is SuspectPhase.SUSPECT and not forward.has_permit:
            return ErrorKind.REQUEST_SUSPECT
        if forward.has_permit and self._has_trial:
            return ErrorKind.REQUEST_SUSPECT
        return None

    def _record_answer(self, forward):
        if self._suspects.record_answer(forward.digest, boot_s()):
            self.on_suspect_answered()

    def running_suspects(self):
        """Return the digests of suspects under which the target may yet end."""
        now = boot_s()
        return {
            each
            for each in self.ends.unresolved()
            if self._suspects.is_confined(each, now)
        }

    def _is_zone_closed(self, forward):
        """Whether the zone is out; for an owner's keys, only after a grace time.

        Its keys normally move within a heartbeat or two. Even if the control group
        fails to move them, no request may reach the target after the grace time.
        """
        since_s = self._view.zone_out_since_s(self._settings.zone)
        if since_s is None:
            return False
        grace_s = ZONE_GRACE_FRACTION * self._settings.zone_out_s
        return forward.key < 0 or boot_s() - since_s > grace_s

    async def _wait_for_start(self, offer):
        """Wait at the gate; return None once the request starts, else a ``Refuse``."""
        self._update_limits()
        decision = self._gate.offer(offer, boot_s())
        self.cold_checks.start_if_due()
        if isinstance(decision, Refuse):
            return decision
        if isinstance(decision, Start):
            return None
        future = asyncio.get_running_loop().create_future()
        self._future_by_number[offer.number] = future
        if self._settle_timer is None:
            self._schedule_settle()
        try:
            # Awaiting the future itself would cancel it when a caller disconnects.
            await asyncio.wait([future])
        except asyncio.CancelledError:
            if future.done() and isinstance(future.result(), Start):
                self._apply(self._gate.finish(offer.number, False, boot_s()))
            self._apply(self._gate.withdraw(offer.number, boot_s()))
            raise
        finally:
            self._future_by_number.pop(offer.number, None)
        decision = future.result()
        return decision if isinstance(decision, Refuse) else None

    def _schedule_settle(self):
        loop = asyncio.get_running_loop()
        self._settle_timer = loop.call_later(SETTLE_INTERVAL_S, self._settle)

    def _settle(self):
        """Apply the gate's decisions, and repeat while requests wait there."""
        self._settle_timer = None
        self._update_limits()
        self._apply(self._gate.settle(boot_s()))
        self.cold_checks.start_if_due()
        if self._future_by_number:
            self._schedule_settle()

    def _apply(self, decisions):
        for decision in decisions:
            future = self._future_by_number.get(decision.number)
            if future is not None and not future.done():
                future.set_result(decision)
            elif isinstance(decision, Start):
                # Its caller disconnected at the same moment: free the slot again.
                self._apply(self._gate.finish(decision.number, False, boot_s()))

    # Results.

    def _gate_refusal(self, forward, gate_refusal):
        if forward.waits:
            return self._results.not_run(
                forward, gate_refusal.kind, gate_refusal.retry_after_s
            )
        return self._results.busy(forward, gate_refusal)

    def _log_context(self):
        """Return the state that decides about a request, as fields for its log line."""
        state = self._state
        now = boot_s()
        return {
            "life": state.life,
            "heartbeat_age_s": round(min(now - state.heartbeat_received_s, 999.0), 3),
            "running": self._gate.running,
            "waiting": self._gate.waiting,
            "slots": self._gate.slots,
            "work_ms": round(self._gate.work_s * 1000),
            "is_cold": state.is_cold(now),
            "unchecked_starts": self._gate.cold.unchecked(now),
            "arriving_bytes": self.intake.remaining_bytes,
            "link_bytes_per_s": round(self.intake.bytes_per_s),
            **self._limit_context(now),
        }

    def _limit_context(self, now):
        """Return the limit in force, as fields for log lines; none without a limit."""
        limit = self._state.limit
        if limit.per_s is None:
            return {}
        return {
            "limit_per_s": limit.per_s,
            "limit_age_s": round(now - limit.named_s, 3),
            "limit_from": limit.source,
            "limited_starts": self._gate.limited_starts(now),
        }

    def close(self):
        """Close the connections to the target."""
        self.cold_checks.close()
        self.exchange.client.close()
