"""Which target owns which keys: for keys without an owner, and for planned moves.

Pure. Ranges are shared out by their weight: the load seen on them where it is known,
else the number of their keys.
"""

import attrs

from tamarackhaven.fleet._model import KEY_COUNT, KeyRange

# Load: busy keys lie close together. Harm: one range for each target would give one of
# them all busy keys. Limit: a target's ranges must fit one heartbeat's answer of 4 KiB
# with room for splits; eight of about 45 bytes leave most of it free.
RANGES_PER_TARGET = 8
# More ranges than this for one target no longer fit a heartbeat's answer.
MOST_RANGES_PER_TARGET = 56
# Load: a target joins an otherwise balanced service. Harm: each move leaves its keys
# unserved for a moment, so chasing exact balance costs more than it gives. Limit: a
# target may lack this part of its fair share before keys move to it.
TOLERATED_LACK = 0.3


@attrs.frozen
class Move:
    """A planned change of owner."""

    old: KeyRange
    to_life: str


def first_ranges(slots_by_life):
    """Return the ranges of a service whose keys nobody has owned yet.

    Parameters
    ----------
    slots_by_life : dict of str to int
        The targets that may own keys; at least one.
    """
    lives = _dealt(slots_by_life)
    size = KEY_COUNT / len(lives)
    edges = [round(number * size) for number in range(len(lives) + 1)]
    return [
        KeyRange(first, following - 1, owner=life)
        for life, first, following in zip(lives, edges, edges[1:], strict=False)
    ]


def _dealt(slots_by_life):
    """Return lives in turn, each as often as its part of the slots."""
    total = sum(slots_by_life.values())
    rounds = len(slots_by_life) * RANGES_PER_TARGET
    credit = dict.fromkeys(sorted(slots_by_life), 0.0)
    dealt = []
    for _ in range(rounds):
        for life in credit:
            credit[life] += slots_by_life[life] / total
        chosen = max(credit, key=credit.get)
        credit[chosen] -= 1.0
        dealt.append(chosen)
    return dealt


class Shares:
    """What each target owns, for each slot that it has.

    Parameters
    ----------
    ranges : iterable of KeyRange
        Of one service.
    slots_by_life : dict of str to int
        The targets that may own keys.
    weigh : callable
        ``weigh(key_range)``; any unit.
    """

    def __init__(self, ranges, slots_by_life, weigh):
        self._slots_by_life = slots_by_life
        self.weigh = weigh
        self.weight_by_life = dict.fromkeys(sorted(slots_by_life), 0.0)
        self.count_by_life = dict.fromkeys(sorted(slots_by_life), 0)
        self.total = 0.0
        for each in ranges:
            weight = weigh(each)
            self.total += weight
            if each.owner in self.weight_by_life:
                self.weight_by_life[each.owner] += weight
                self.count_by_life[each.owner] += 1

    def fair(self, life):
        """Return the weight that ``life`` should own by its slots."""
        slots = sum(self._slots_by_life.values())
        return self.total * self._slots_by_life[life] / slots

    def fill(self, life):
        """Return what ``life`` owns as a part of its fair share."""
        return self.weight_by_life[life] / max(self.fair(life), 1e-9)

    def least(self):
        """Return the life with the smallest part of its fair share."""
        free = [
            life
            for life, count in self.count_by_life.items()
            if count < MOST_RANGES_PER_TARGET
        ]
        return min(free or self.weight_by_life, key=self.fill)

    def most(self):
        """Return the life with the largest part of its fair share."""
        return max(self.weight_by_life, key=self.fill)

    def move(self, key_range, to_life):
        """Count ``key_range`` for ``to_life`` from now on."""
        weight = self.weigh(key_range)
        if key_range.owner in self.weight_by_life:
            self.weight_by_life[key_range.owner] -= weight
            self.count_by_life[key_range.owner] -= 1
        self.weight_by_life[to_life] += weight
        self.count_by_life[to_life] += 1


def share_out(free, shares):
    """Return new owners for ranges that nobody holds, largest first."""
    new = []
    for each in sorted(free, key=shares.weigh, reverse=True):
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


def fill_up(ranges, shares, most_moves):
    """Return moves towards targets that lack much of their fair share.

    A range is split where the whole of it would only swap the roles of giver and
    taker.
    """
    moves = []
    ranges = list(ranges)
    for _ in range(most_moves):
        taker, giver = shares.least(), shares.most()
        lack = 1.0 - shares.fill(taker)
        if taker == giver or lack < TOLERATED_LACK:
            break
        wanted = min(
            shares.fair(taker) * lack,
            shares.weight_by_life[giver] - shares.fair(giver),
        )
        chosen = _best_piece(ranges, giver, wanted, shares.weigh)
        if chosen is None:
            break
        whole, piece = chosen
        ranges.remove(whole)
        shares.move(piece, taker)
        moves.append(Move(piece, taker))
    return moves


def _best_piece(ranges, giver, wanted, weigh):
    """Return a giver's range and the piece of it that weighs about ``wanted``."""
    owned = [each for each in ranges if each.owner == giver]
    fitting = [each for each in owned if weigh(each) <= wanted]
    if fitting:
        best = max(fitting, key=weigh)
        return best, best
    if not owned or wanted <= 0:
        return None
    whole = min(owned, key=weigh)
    size = whole.last - whole.first + 1
    kept = int(size * (1 - wanted / weigh(whole)))
    if not 0 < kept < size:
        return None
    return whole, attrs.evolve(whole, first=whole.first + kept)
