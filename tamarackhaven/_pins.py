"""Which hot keys get a shard of their own, decided at the leader from load reports.

Load: the few hottest keys, each as heavy as many shards, change within minutes.
Harm: all keys of a shard wait behind a hot one, and a key that is pinned and unpinned
again and again changes its owner each time.
Limit: hysteresis by two thresholds and a shortest life, and a bounded number of pins.
"""

import attrs

from tamarackhaven._changes import PinKey, ShardMove, UnpinKey
from tamarackhaven._keys import shard_of

STALE_S = 90.0
"""Reports older than this are ignored: they come a few times a minute."""

HALF_LIFE_S = 30.0
"""Age at which a report counts half, since hot keys change within minutes."""


@attrs.frozen
class PinDecision:
    """Changes to propose, and moves that bring pinned keys home for a later unpin.

    Parameters
    ----------
    changes : list of PinKey or UnpinKey
    moves : list of ShardMove
        For pinned keys that are cold but not at the owner of their shard; they count
        in the batch of the policy.
    cold_shards : frozenset of int
        Shards of all pinned keys that are to be unpinned, for
        ``PlacementInputs.fixed_shards``.
    """

    changes: list[PinKey | UnpinKey] = attrs.field(factory=list)
    moves: list[ShardMove] = attrs.field(factory=list)
    cold_shards: frozenset[int] = frozenset()


@attrs.frozen
class _Received:
    report: object
    now: float


class PinPlanner:
    """Pins and unpins hot keys.

    It keeps the last report of each target and the time since which each pin has been
    known; a new leader counts every pin from when it first saw it.

    Parameters
    ----------
    settings : PlacementSettings
    """

    def __init__(self, settings):
        self.settings = settings
        self._received_by_target = {}
        self._since_by_pin = {}

    def report(self, report, now):
        """Take in a ``LoadReport`` that arrived at ``now``, in seconds.

        One of an older epoch comes from a process that was replaced and is ignored.
        """
        place = report.service, report.target
        known = self._received_by_target.get(place)
        if known is None or report.epoch >= known.report.epoch:
            self._received_by_target[place] = _Received(report, now)

    def shares(self, service, now):
        """Return how heavy each reported key is, as a part of a target's mean load.

        By the mean target and not by the whole service, so that the thresholds mean
        the same with 4 targets and with 1,500.

        Returns
        -------
        dict of int to float
            By key hash; each target's report is weighed by its rate and its age.
        """
        rate_by_key, mean = self._rates(service, now)
        return {key: rate / mean for key, rate in rate_by_key.items() if mean}

    def _rates(self, service, now):
        """Return the rate of each key, and of the mean target, in requests a second."""
        self._forget_stale(now)
        rates = []
        rate_by_key = {}
        for received in self._received_by_target.values():
            report = received.report
            if report.service != service.name:
                continue
            rate = report.requests_per_s * _freshness(now - received.now)
            rates.append(rate)
            for hot in report.hot_keys:
                known = rate_by_key.get(hot.key_hash, 0.0)
                rate_by_key[hot.key_hash] = known + rate * hot.share
        return rate_by_key, sum(rates) / len(rates) if rates else 0.0

    def decide(self, service, policy, grants_by_shard, now, max_moves=None):
        """Return what to pin, to unpin and to move home.

        Parameters
        ----------
        service : Service
            The service; reports of others are ignored.
        policy : OwnershipPolicy
            Bounds the pins and the moves.
        grants_by_shard : dict of int to ShardGrant
            All grants of the service.
        now : float
            In seconds.
        max_moves : int, optional
            Most moves home; the policy's batch if not given. The leader passes what
            placement has left of the batch.

        Returns
        -------
        PinDecision
        """
        rate_by_key, mean = self._rates(service, now)
        share_by_key = {key: rate / mean for key, rate in rate_by_key.items() if mean}
        pins = [grant for grant in grants_by_shard.values() if grant.key_hash]
        self._note_pins(service, pins, now)
        cold = [pin for pin in pins if self._is_cold(pin, share_by_key, now)]
        moves, unpins = [], []
        for pin in sorted(cold, key=lambda pin: pin.shard):
            home = grants_by_shard.get(shard_of(pin.key_hash, service.shard_count))
            _bring_home(pin, home, moves, unpins)
        pinned = {pin.key_hash for pin in pins}
        hot = self._hot(share_by_key, rate_by_key, pinned)
        room = max(0, policy.max_pinned_keys - len(pins))
        changes = unpins + [_pin(service, key, share_by_key[key]) for key in hot[:room]]
        bound = policy.move_batch if max_moves is None else max_moves
        cold_shards = frozenset(pin.shard for pin in cold)
        return PinDecision(changes, moves[: max(0, bound)], cold_shards)

    def _hot(self, share_by_key, rate_by_key, pinned):
        """Return the keys to pin, hottest first.

        A key must be hot in itself, too: where few keys are in use, each is a large
        part of the load, and pins of them all would only make moves.
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
        """Return whether a pin has lived long enough and is no longer hot.

        Without any fresh report nothing is known, and the pin stays: else a leader
        that has just been elected would unpin every key.
        """
        since = self._since_by_pin[pin.service, pin.key_hash]
        held = now - since >= self.settings.pin_hold_s
        share = share_by_key.get(pin.key_hash, 0.0)
        return bool(share_by_key) and held and share < self.settings.unpin_share

    def _note_pins(self, service, pins, now):
        present = {(pin.service, pin.key_hash) for pin in pins}
        for place in list(self._since_by_pin):
            if place[0] == service.name and place not in present:
                del self._since_by_pin[place]
        for place in present:
            self._since_by_pin.setdefault(place, now)

    def _forget_stale(self, now):
        for place, received in list(self._received_by_target.items()):
            if now - received.now > STALE_S:
                del self._received_by_target[place]


def _freshness(age):
    return 0.5 ** (max(0.0, age) / HALF_LIFE_S)


def _pin(service, key, share):
    return PinKey(service.name, key, f"{share:.1%} of a target's mean load")


def _bring_home(pin, home, moves, unpins):
    """Add an unpin, or the move that must come first, for one cold pin.

    Failure: a pinned key folded back into a shard of another owner would have two
    owners at once, or none. So it first moves to that owner, and nothing happens
    while either of the two is on the move.
    """
    if home is None or not home.owner or home.moving_to or pin.moving_to:
        return
    if pin.owner == home.owner:
        unpins.append(UnpinKey(pin.service, pin.key_hash, "no longer hot"))
    else:
        moves.append(ShardMove(pin.shard, pin.grant, home.owner))
