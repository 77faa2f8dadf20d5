"""Places keys on targets: keys to be assigned anew, and planned moves of owned ones.

Pure. Targets are compared by their utilization: the work that their keys cause, as a
fraction of their capacity.
"""

import attrs

from tamarackhaven.fleet._model import BUCKET_KEYS, KEY_COUNT, KeyRange

# Busy keys are often adjacent, and with one range for each target a single target would
# get all of them. A target's ranges must fit one heartbeat's answer of 4 KiB, with room
# for splits; eight of about 45 bytes leave most of it free.
INITIAL_RANGES_PER_TARGET = 8
# More ranges of one target wouldn't fit a heartbeat's answer.
MAX_RANGES_PER_TARGET = 56
# Keys without requests count as if together they used this fraction of all targets'
# capacity. So they're spread as well, in case requests for them come later.
IDLE_KEYS_UTILIZATION = 0.2
# Each move leaves its keys unserved for some tenths of a second, and demand varies from
# second to second, so exact balance would cost more than it gains. Keys move only if
# two targets' utilization differs by more than both of these, the second as a fraction
# of the mean utilization; counts of a second or two vary by less.
MIN_UTILIZATION_GAP = 0.15
MIN_UTILIZATION_GAP_FRACTION = 0.3
# A target below this utilization answers about as fast as any other. Its keys move only
# to targets whose utilization is below the second value, a fraction of the mean: mostly
# targets that have just joined.
HIGH_UTILIZATION = 0.8
LOW_UTILIZATION_FRACTION = 0.3
# Moves less than the full difference, because the counts are a second old.
MOVED_GAP_FRACTION = 0.8


@attrs.frozen
class Move:
    """A planned change of owner."""

    old: KeyRange
    to_life: str


def first_ranges(capacity_by_life):
    """Return the first ranges of a service whose keys have never been owned.

    Parameters
    ----------
    capacity_by_life : dict of str to float
        Requests a second of the targets that may own keys; at least one.
    """
    lives = _lives_by_capacity(capacity_by_life)
    size = KEY_COUNT / len(lives)
    boundaries = [round(number * size) for number in range(len(lives) + 1)]
    return [
        KeyRange(first, following - 1, owner=life)
        for life, first, following in zip(
            lives, boundaries, boundaries[1:], strict=False
        )
    ]


def _lives_by_capacity(capacity_by_life):
    """Return lives by weighted round robin, each in proportion to its capacity."""
    total = sum(capacity_by_life.values())
    rounds = len(capacity_by_life) * INITIAL_RANGES_PER_TARGET
    credit = dict.fromkeys(sorted(capacity_by_life), 0.0)
    lives = []
    for _ in range(rounds):
        for life in credit:
            credit[life] += capacity_by_life[life] / total
        chosen = max(credit, key=credit.get)
        credit[chosen] -= 1.0
        lives.append(chosen)
    return lives


class KeyWeights:
    """How much work keys cause, in requests a second.

    Parameters
    ----------
    rate_by_bucket : dict of int to float
        Requests a second for each busy bucket of ``BUCKET_KEYS`` keys.
    other_rate : float
        Requests a second for all other keys, assumed to be spread evenly.
    capacity : float
        Requests a second that all targets together can serve.
    """

    def __init__(self, rate_by_bucket, other_rate, capacity):
        self._rate_by_bucket = rate_by_bucket
        self._idle_per_key = (IDLE_KEYS_UTILIZATION * capacity + other_rate) / KEY_COUNT

    def bucket_weight(self, number):
        """Return the weight of a whole bucket, in requests a second."""
        idle = self._idle_per_key * BUCKET_KEYS
        return self._rate_by_bucket.get(number, 0.0) + idle

    def weight_of(self, key_range):
        """Return the weight of a range, in requests a second.

        A split bucket counts in proportion to its keys.
        """
        first, last = key_range.first // BUCKET_KEYS, key_range.last // BUCKET_KEYS
        weight = (key_range.last - key_range.first + 1) * self._idle_per_key
        if last - first + 1 < len(self._rate_by_bucket):
            buckets = range(first, last + 1)
        else:
            buckets = [each for each in self._rate_by_bucket if first <= each <= last]
        for number in buckets:
            rate = self._rate_by_bucket.get(number)
            if rate:
                weight += rate * _fraction_of_bucket(number, key_range)
        return weight


def _fraction_of_bucket(number, key_range):
    start = number * BUCKET_KEYS
    first = max(start, key_range.first)
    last = min(start + BUCKET_KEYS - 1, key_range.last)
    return (last - first + 1) / BUCKET_KEYS


class Utilization:
    """The work of each target's keys, as a fraction of the target's capacity.

    Parameters
    ----------
    ranges : iterable of KeyRange
        Of one service.
    capacity_by_life : dict of str to float
        Requests a second of the targets that may own keys.
    weights : KeyWeights
        Of the service's keys.
    """

    def __init__(self, ranges, capacity_by_life, weights):
        self._capacity_by_life = capacity_by_life
        self.weights = weights
        self.weight_by_life = dict.fromkeys(sorted(capacity_by_life), 0.0)
        self.count_by_life = dict.fromkeys(sorted(capacity_by_life), 0)
        for each in ranges:
            if each.owner in self.weight_by_life:
                self.weight_by_life[each.owner] += weights.weight_of(each)
                self.count_by_life[each.owner] += 1

    def capacity(self, life):
        """Return the requests a second that ``life`` can serve."""
        return self._capacity_by_life[life]

    def of(self, life):
        """Return the work of ``life`` as a fraction of its capacity."""
        return self.weight_by_life[life] / self._capacity_by_life[life]

    def mean(self):
        """Return the utilization of all targets together."""
        return sum(self.weight_by_life.values()) / sum(self._capacity_by_life.values())

    def least(self):
        """Return the least utilized life that has room for another range."""
        with_room = [
            life
            for life, count in self.count_by_life.items()
            if count < MAX_RANGES_PER_TARGET
        ]
        return min(with_room or self.weight_by_life, key=self.of)

    def most(self, excluding=()):
        """Return the most utilized life not in ``excluding``, None if none is left."""
        lives = [life for life in self.weight_by_life if life not in excluding]
        return max(lives, key=self.of, default=None)

    def reassign(self, key_range, to_life):
        """Count ``key_range`` for ``to_life`` instead of its present owner."""
        weight = self.weights.weight_of(key_range)
        if key_range.owner in self.weight_by_life:
            self.weight_by_life[key_range.owner] -= weight
            self.count_by_life[key_range.owner] -= 1
        self.weight_by_life[to_life] += weight
        self.count_by_life[to_life] += 1


def assign_ranges(assignable, utilization):
    """Return ``assignable`` ranges with new owners, heaviest range first."""
    new = []
    for each in sorted(assignable, key=utilization.weights.weight_of, reverse=True):
        life = utilization.least()
        utilization.reassign(each, life)
        new.append(attrs.evolve(each, owner=life, handover=""))
    return new


def leave(ranges, leaving, utilization):
    """Return moves of all ranges whose owners are leaving."""
    moves = []
    for each in ranges:
        if each.owner not in leaving:
            continue
        life = utilization.least()
        utilization.reassign(each, life)
        moves.append(Move(each, life))
    return moves


def balance(ranges, utilization, max_moves, excluded_donors=()):
    """Return up to ``max_moves`` moves from the most to the least utilized targets.

    Nothing moves away from the lives in ``excluded_donors``.
    """
    moves = []
    ranges = list(ranges)
    low_utilization = LOW_UTILIZATION_FRACTION * utilization.mean()
    underused = {
        life
        for life in utilization.weight_by_life
        if utilization.of(life) < low_utilization
    }
    # If one key is too hot for any target, its owner stays the most utilized one and
    # has no piece that can move. Unless it's skipped, no other target's keys would move
    # either.
    exhausted = set(excluded_donors)
    while len(moves) < max_moves:
        receiver, donor = utilization.least(), utilization.most(excluding=exhausted)
        if donor is None:
            break
        gap = utilization.of(donor) - utilization.of(receiver)
        if gap < max(
            MIN_UTILIZATION_GAP, MIN_UTILIZATION_GAP_FRACTION * utilization.mean()
        ):
            break
        if utilization.of(donor) < HIGH_UTILIZATION and receiver not in underused:
            break
        even_weight = gap / (
            1 / utilization.capacity(donor) + 1 / utilization.capacity(receiver)
        )
        chosen = _best_piece(
            ranges, donor, MOVED_GAP_FRACTION * even_weight, utilization.weights
        )
        if chosen is None:
            # A busy key of a target with far less capacity: it weighs too much to make
            # both even, and little at the receiver.
            light_weight = gap / 2 * utilization.capacity(receiver)
            chosen = _best_piece(
                ranges, donor, MOVED_GAP_FRACTION * light_weight, utilization.weights
            )
        if chosen is None:
            exhausted.add(donor)
            continue
        whole, piece = chosen
        ranges.remove(whole)
        utilization.reassign(piece, receiver)
        moves.append(Move(piece, receiver))
    return moves


def _best_piece(ranges, donor, max_weight, weights):
    """Return the donor's range with the heaviest movable piece, and that piece.

    The piece weighs ``max_weight`` at most; None if there is none.
    """
    best = None
    best_weight = 0.0
    for whole in ranges:
        if whole.owner != donor:
            continue
        weight, piece = _heaviest_run(whole, max_weight, weights)
        if weight > best_weight:
            best, best_weight = (whole, piece), weight
    return best


def _heaviest_run(whole, max_weight, weights):
    """Return the heaviest run of whole buckets within a range, and its weight.

    The run weighs ``max_weight`` at most; it's None if there is none.
    """
    total = weights.weight_of(whole)
    if total <= max_weight:
        return total, whole
    first = -(-whole.first // BUCKET_KEYS)
    stop = (whole.last + 1) // BUCKET_KEYS
    best = (0.0, None)
    start, run_weight = first, 0.0
    for number in range(first, stop):
        run_weight += weights.bucket_weight(number)
        while run_weight > max_weight and start <= number:
            run_weight -= weights.bucket_weight(start)
            start += 1
        if start <= number and run_weight > best[0]:
            best = (run_weight, (start, number))
    if best[1] is None:
        return 0.0, None
    low, high = best[1]
    piece = attrs.evolve(
        whole, first=low * BUCKET_KEYS, last=(high + 1) * BUCKET_KEYS - 1
    )
    return best[0], piece
