"""Operations on ordered key ranges without gap or overlap. Pure."""

import bisect
import functools
import itertools

import attrs

from tamarackhaven._digests import set_digest
from tamarackhaven.fleet._model import KEY_COUNT, KeyRange


def whole():
    """Return the ranges of a service whose keys have no owner yet."""
    return (KeyRange(0, KEY_COUNT - 1),)


def assigned(ranges, new):
    """Return ``ranges`` with the keys of ``new`` replaced by ``new``.

    Parameters
    ----------
    ranges : tuple of KeyRange
        In order, covering all keys.
    new : iterable of KeyRange
        Without overlap.
    """
    new = sorted(new, key=_first_key)
    result = []
    next_new = 0
    for old in ranges:
        while next_new < len(new) and new[next_new].last < old.first:
            next_new += 1
        if next_new == len(new) or new[next_new].first > old.last:
            result.append(old)
        else:
            result.extend(_remainder(old, new[next_new:]))
    return _merged(sorted([*result, *new], key=_first_key))


def _first_key(each):
    return each.first


def _remainder(old, new):
    """Yield the parts of ``old`` that ``new``, ordered by first key, doesn't cover."""
    first = old.first
    for each in new:
        if each.first > old.last:
            break
        if each.first > first:
            yield attrs.evolve(old, first=first, last=each.first - 1)
        first = each.last + 1
    if first <= old.last:
        yield attrs.evolve(old, first=first)


def _merged(ranges):
    """Merge adjacent ranges that differ only in keys, to keep heartbeats small."""
    result = []
    for each in ranges:
        if result and _differ_only_in_keys(result[-1], each):
            result[-1] = attrs.evolve(result[-1], last=each.last)
        else:
            result.append(each)
    return tuple(result)


def _differ_only_in_keys(one, other):
    """Whether two ranges have the same fence, owner and handover."""
    return (
        one.fence == other.fence
        and one.owner == other.owner
        and one.handover == other.handover
    )


class RangeIndex:
    """Finds the range of a key by binary search.

    Parameters
    ----------
    ranges : tuple of KeyRange
        In order, covering all keys.
    """

    def __init__(self, ranges):
        self.ranges = ranges
        self._firsts = [each.first for each in ranges]

    @functools.cached_property
    def digest(self):
        """The digest of the ranges, an integer."""
        return digest(self.ranges)

    def find(self, key):
        """Return the ``KeyRange`` of ``key``."""
        return self.ranges[bisect.bisect_right(self._firsts, key) - 1]


def digest(ranges):
    """Return the digest of ranges, an integer."""
    return set_digest(each.digest for each in ranges)


def overlaps(one, other):
    """Return whether two ranges share a key."""
    return one.first <= other.last and other.first <= one.last


def has_overlap(ranges):
    """Return whether any two of several ranges share a key."""
    ordered = sorted(ranges, key=lambda each: each.first)
    return any(
        following.first <= before.last
        for before, following in itertools.pairwise(ordered)
    )
