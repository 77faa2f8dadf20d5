"""Which target owns which keys: for keys without an owner, and for planned moves.

Pure. Targets are compared by their use: the work that their keys bring, as a part of
the work that they can do.
"""

import attrs

from tamarackhaven.fleet._model import BUCKET_KEYS, KEY_COUNT, KeyRange

# Load: busy keys lie close together. Harm: one range for each target would give one of
# them all busy keys. Limit: a target's ranges must fit one heartbeat's answer of 4 KiB
# with room for splits; eight of about 45 bytes leave most of it free.
RANGES_PER_TARGET = 8
# More ranges than this for one target no longer fit a heartbeat's answer.
MOST_RANGES_PER_TARGET = 56
# Keys that nobody asks for count as if all of them together used this part of the
# targets, so that they are shared out, too: their time may come.
IDLE_USE = 0.2
# Load: demand that varies from second to second. Harm: each move leaves its keys
# unserved for some tenths of a second, so chasing exact balance costs more than it
# gives. Limit: two targets' use may differ by both of these, the second as a part of
# the mean use; counts of a second or two vary by less.
TOLERATED_GAP = 0.15
TOLERATED_GAP_PART = 0.3
# A target with use to spare answers about as fast as any other: its keys move only to
# one that has next to nothing, as one that has just joined.
FULL_USE = 0.8
NEXT_TO_NOTHING = 0.3
# A move aims at most of the difference: what was counted is a second old.
MOVED_PART = 0.8


@attrs.frozen
class Move:
    """A planned change of owner."""

    old: KeyRange
    to_life: str


def first_ranges(power_by_life):
    """Return the ranges of a service whose keys nobody has owned yet.

    Parameters
    ----------
    power_by_life : dict of str to float
        Requests a second of the targets that may own keys; at least one.
    """
    lives = _dealt(power_by_life)
    size = KEY_COUNT / len(lives)
    edges = [round(number * size) for number in range(len(lives) + 1)]
    return [
        KeyRange(first, following - 1, owner=life)
        for life, first, following in zip(lives, edges, edges[1:], strict=False)
    ]


def _dealt(power_by_life):
    """Return lives in turn, each as often as its part of the power."""
    total = sum(power_by_life.values())
    rounds = len(power_by_life) * RANGES_PER_TARGET
    credit = dict.fromkeys(sorted(power_by_life), 0.0)
    dealt = []
    for _ in range(rounds):
        for life in credit:
            credit[life] += power_by_life[life] / total
        chosen = max(credit, key=credit.get)
        credit[chosen] -= 1.0
        dealt.append(chosen)
    return dealt


class KeyWeights:
    """How much work keys bring, in requests a second.

    Parameters
    ----------
    rate_by_bucket : dict of int to float
        Requests a second for each busy bucket of ``BUCKET_KEYS`` keys.
    rest : float
        Requests a second for all other keys, taken as spread evenly.
    power : float
        Requests a second that all targets can do.
    """

    def __init__(self, rate_by_bucket, rest, power):
        self._rate_by_bucket = rate_by_bucket
        self._idle_per_key = (IDLE_USE * power + rest) / KEY_COUNT

    def bucket(self, number):
        """Return the weight of a whole bucket."""
        idle = self._idle_per_key * BUCKET_KEYS
        return self._rate_by_bucket.get(number, 0.0) + idle

    def weigh(self, key_range):
        """Return the weight of a range; a bucket in two ranges counts by its part."""
        first, last = key_range.first // BUCKET_KEYS, key_range.last // BUCKET_KEYS
        weight = (key_range.last - key_range.first + 1) * self._idle_per_key
        if last - first + 1 < len(self._rate_by_bucket):
            buckets = range(first, last + 1)
        else:
            buckets = [each for each in self._rate_by_bucket if first <= each <= last]
        for number in buckets:
            rate = self._rate_by_bucket.get(number)
            if rate:
                weight += rate * _part_of_bucket(number, key_range)
        return weight


def _part_of_bucket(number, key_range):
    start = number * BUCKET_KEYS
    first = max(start, key_range.first)
    last = min(start + BUCKET_KEYS - 1, key_range.last)
    return (last - first + 1) / BUCKET_KEYS


class Shares:
    """What each target owns, as a part of what it can do.

    Parameters
    ----------
    ranges : iterable of KeyRange
        Of one service.
    power_by_life : dict of str to float
        Requests a second of the targets that may own keys.
    weights : KeyWeights
        Of the service's keys.
    """

    def __init__(self, ranges, power_by_life, weights):
        self._power_by_life = power_by_life
        self.weights = weights
        self.weight_by_life = dict.fromkeys(sorted(power_by_life), 0.0)
        self.count_by_life = dict.fromkeys(sorted(power_by_life), 0)
        for each in ranges:
            if each.owner in self.weight_by_life:
                self.weight_by_life[each.owner] += weights.weigh(each)
                self.count_by_life[each.owner] += 1

    def power(self, life):
        """Return the requests a second that ``life`` can do."""
        return self._power_by_life[life]

    def use(self, life):
        """Return the work of ``life`` as a part of what it can do."""
        return self.weight_by_life[life] / self._power_by_life[life]

    def mean_use(self):
        """Return the use of all targets together."""
        return sum(self.weight_by_life.values()) / sum(self._power_by_life.values())

    def least(self):
        """Return the life with the least use that has room for another range."""
        free = [
            life
            for life, count in self.count_by_life.items()
            if count < MOST_RANGES_PER_TARGET
        ]
        return min(free or self.weight_by_life, key=self.use)

    def most(self, but=()):
        """Return the life with the most use that is not in ``but``, None without."""
        lives = [life for life in self.weight_by_life if life not in but]
        return max(lives, key=self.use, default=None)

    def move(self, key_range, to_life):
        """Count ``key_range`` for ``to_life`` from now on."""
        weight = self.weights.weigh(key_range)
        if key_range.owner in self.weight_by_life:
            self.weight_by_life[key_range.owner] -= weight
            self.count_by_life[key_range.owner] -= 1
        self.weight_by_life[to_life] += weight
        self.count_by_life[to_life] += 1


def share_out(free, shares):
    """Return new owners for ranges that nobody holds, heaviest first."""
    new = []
    for each in sorted(free, key=shares.weights.weigh, reverse=True):
        life = shares.least()
        shares.move(each, life)
        new.append(attrs.evolve(each, owner=life, handover=""))
    return new


def leave(ranges, leaving, shares):
    """Return moves for all ranges whose owners are leaving."""
    moves = []
    for each in ranges:
        if each.owner not in leaving:
            continue
        life = shares.least()
        shares.move(each, life)
        moves.append(Move(each, life))
    return moves


def balance(ranges, shares, most_moves, fixed=()):
    """Return moves from the most to the least used targets, a few at a time.

    Nothing moves away from the lives in ``fixed``.
    """
    moves = []
    ranges = list(ranges)
    nothing = NEXT_TO_NOTHING * shares.mean_use()
    joined = {life for life in shares.weight_by_life if shares.use(life) < nothing}
    # Failure: one key is too hot for any target. Symptom: its owner stays the most used
    # one, nothing of it can move, and nobody else's keys move either. Enough: who has
    # nothing to give is passed over.
    stuck = set(fixed)
    while len(moves) < most_moves:
        taker, giver = shares.least(), shares.most(but=stuck)
        if giver is None:
            break
        gap = shares.use(giver) - shares.use(taker)
        if gap < max(TOLERATED_GAP, TOLERATED_GAP_PART * shares.mean_use()):
            break
        if shares.use(giver) < FULL_USE and taker not in joined:
            break
        even = gap / (1 / shares.power(giver) + 1 / shares.power(taker))
        chosen = _best_piece(ranges, giver, MOVED_PART * even, shares.weights)
        if chosen is None:
            stuck.add(giver)
            continue
        whole, piece = chosen
        ranges.remove(whole)
        shares.move(piece, taker)
        moves.append(Move(piece, taker))
    return moves


def _best_piece(ranges, giver, wanted, weights):
    """Return a giver's range, and the heaviest piece of it that fits ``wanted``."""
    best = None
    best_weight = 0.0
    for whole in ranges:
        if whole.owner != giver:
            continue
        weight, piece = _heaviest_run(whole, wanted, weights)
        if weight > best_weight:
            best, best_weight = (whole, piece), weight
    return best


def _heaviest_run(whole, wanted, weights):
    """Return the heaviest run of whole buckets within a range, ``wanted`` at most."""
    total = weights.weigh(whole)
    if total <= wanted:
        return total, whole
    first = -(-whole.first // BUCKET_KEYS)
    end = (whole.last + 1) // BUCKET_KEYS
    best = (0.0, None)
    start, sum_ = first, 0.0
    for number in range(first, end):
        sum_ += weights.bucket(number)
        while sum_ > wanted and start <= number:
            sum_ -= weights.bucket(start)
            start += 1
        if start <= number and sum_ > best[0]:
            best = (sum_, (start, number))
    if best[1] is None:
        return 0.0, None
    low, high = best[1]
    piece = attrs.evolve(
        whole, first=low * BUCKET_KEYS, last=(high + 1) * BUCKET_KEYS - 1
    )
    return best[0], piece
