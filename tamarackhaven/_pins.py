"""Decides at the leader which hot keys get their own shard, from load reports.

Each of the few hottest keys has the load of many shards, and which keys are hot changes
within minutes. Without a pin, all keys of a shard wait behind a hot one; but a key that
is pinned and unpinned repeatedly changes its owner each time. Two thresholds and a
minimum lifetime of pins provide hysteresis, and the number of pins is bounded.
"""

import attrs

from tamarackhaven._changes import PinKey, ShardMove, UnpinKey
from tamarackhaven._keys import shard_of

MAX_LOAD_REPORT_AGE_S = 90.0
"""Age above which reports are ignored; they arrive a few times a minute."""

REPORT_HALF_LIFE_S = 30.0
"""Age at which a report counts half, because hot keys change within minutes."""


@attrs.frozen
class PinDecision:
    """Changes to propose, and moves that return pinned keys before they are unpinned.

    Parameters
    ----------
    changes : list of PinKey or UnpinKey
    moves : list of ShardMove
        Moves of pinned keys that are cold but not at the owner of their ordinary
        shard; they count in the batch of the policy.
    cold_shards : frozenset of int
        Shards of all pinned keys that will be unpinned, for
        ``PlacementInputs.fixed_shards``.
    """

    changes: list[PinKey | UnpinKey] = attrs.field(factory=list)
    moves: list[ShardMove] = attrs.field(factory=list)
    cold_shards: frozenset[int] = frozenset()


@attrs.frozen
class _Received:
    report: object
    received_at_s: float


class PinPlanner:
    """Pins and unpins hot keys.

    It keeps the last report of each target and the time at which it first saw each pin;
    a new leader counts the age of every pin from then.

    Parameters
    ----------
    settings : PlacementSettings
    """

    def __init__(self, settings):
        self.settings = settings
        self._received_by_target = {}
        self._seen_at_s_by_pin = {}

    def report(self, report, now):
        """Process a ``LoadReport`` that arrived at ``now``, in seconds.

        A report of an older epoch comes from a replaced process and is ignored.
        """
        target_id = report.service, report.target
        known = self._received_by_target.get(target_id)
        if known is None or report.epoch >= known.report.epoch:
            self._received_by_target[target_id] = _Received(report, now)

    def shares(self, service, now):
        """Return the load of each reported key, as a fraction of a target's mean load.

        It is relative to the mean target and not to the whole service, so that the
        thresholds have the same effect with 4 targets and with 1,500.

        Returns
        -------
        dict of int to float
            Fraction by key hash; each report is weighted by its rate and its age.
        """
        rate_by_key, mean_rate = self._rates(service, now)
        return {key: rate / mean_rate for key, rate in rate_by_key.items() if mean_rate}

    def _rates(self, service, now):
        """Return the rate of each key and the mean target's, in requests per second."""
        self._forget_stale(now)
        rates = []
        rate_by_key = {}
        for received in self._received_by_target.values():
            report = received.report
            if report.service != service.name:
                continue
            rate = report.requests_per_s * _age_weight(now - received.received_at_s)
            rates.append(rate)
            for hot in report.hot_keys:
                known = rate_by_key.get(hot.key_hash, 0.0)
                rate_by_key[hot.key_hash] = known + rate * hot.share
        return rate_by_key, sum(rates) / len(rates) if rates else 0.0

    def decide(self, service, policy, grants_by_shard, now, max_moves=None):
        """Return what to pin, to unpin and to move to the owner of its shard.

        Parameters
        ----------
        service : Service
            The service; reports of other services are ignored.
        policy : OwnershipPolicy
            Limits the number of pins and moves.
        grants_by_shard : dict of int to ShardGrant
            All grants of the service.
        now : float
            Time in seconds.
        max_moves : int, optional
            Maximum number of moves; the policy's batch if not given. The leader passes
            what placement has left of the batch.

        Returns
        -------
        PinDecision
        """
        rate_by_key, mean_rate = self._rates(service, now)
        share_by_key = {
            key: rate / mean_rate for key, rate in rate_by_key.items() if mean_rate
        }
        pins = [grant for grant in grants_by_shard.values() if grant.key_hash]
        self._track_pins(service, pins, now)
        cold = [pin for pin in pins if self._is_cold(pin, share_by_key, now)]
        moves, unpins = [], []
        for pin in sorted(cold, key=lambda pin: pin.shard):
            home_grant = grants_by_shard.get(
                shard_of(pin.key_hash, service.shard_count)
            )
            _plan_unpin(pin, home_grant, moves, unpins)
        pinned = {pin.key_hash for pin in pins}
        hot = self._keys_to_pin(share_by_key, rate_by_key, pinned)
        max_new_pins = max(0, policy.max_pinned_keys - len(pins))
        changes = unpins + [
            _pin_change(service, key, share_by_key[key]) for key in hot[:max_new_pins]
        ]
        batch_limit = policy.move_batch if max_moves is None else max_moves
        cold_shards = frozenset(pin.shard for pin in cold)
        return PinDecision(changes, moves[: max(0, batch_limit)], cold_shards)

    def _keys_to_pin(self, share_by_key, rate_by_key, pinned):
        """Return the keys to pin, hottest first.

        A key must also have a minimum rate: if only a few keys are in use, each is a
        large part of the load, and pinning them all would only cause moves.
        """
        hot = [
            key
            for key, share in share_by_key.items()
            if share > self.settings.pin_share
            and rate_by_key[key] >= self.settings.pin_rate
            and key not in pinned
        ]
        return sorted(hot, key=lambda key: (-share_by_key[key], key))

    def _is_cold(self, pin, share_by_key, now):
        """Return whether a pin has its minimum age and its key is no longer hot.

        Without any recent report the pin stays: otherwise a leader that has just been
        elected would unpin every key.
        """
        seen_at_s = self._seen_at_s_by_pin[pin.service, pin.key_hash]
        has_min_age = now - seen_at_s >= self.settings.pin_hold_s
        share = share_by_key.get(pin.key_hash, 0.0)
        return bool(share_by_key) and has_min_age and share < self.settings.unpin_share

    def _track_pins(self, service, pins, now):
        current_pins = {(pin.service, pin.key_hash) for pin in pins}
        for pin_id in list(self._seen_at_s_by_pin):
            if pin_id[0] == service.name and pin_id not in current_pins:
                del self._seen_at_s_by_pin[pin_id]
        for pin_id in current_pins:
            self._seen_at_s_by_pin.setdefault(pin_id, now)

    def _forget_stale(self, now):
        for target_id, received in list(self._received_by_target.items()):
            if now - received.received_at_s > MAX_LOAD_REPORT_AGE_S:
                del self._received_by_target[target_id]


def _age_weight(age_s):
    return 0.5 ** (max(0.0, age_s) / REPORT_HALF_LIFE_S)


def _pin_change(service, key, share):
    return PinKey(service.name, key, f"{share:.1%} of a target's mean load")


def _plan_unpin(pin, home_grant, moves, unpins):
    """Append an unpin, or the move that must precede it, for one cold pin.

    A pinned key that was merged into a shard of another owner would have two owners at
    once, or none. So it first moves to that owner, and nothing is done while the pin or
    the shard is moving.
    """
    if (
        home_grant is None
        or not home_grant.owner
        or home_grant.moving_to
        or pin.moving_to
    ):
        return
    if pin.owner == home_grant.owner:
        unpins.append(UnpinKey(pin.service, pin.key_hash, "no longer hot"))
    else:
        moves.append(ShardMove(pin.shard, pin.grant, home_grant.owner))
