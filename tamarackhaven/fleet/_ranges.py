"""Ranges of keys that lie in order without gap or overlap. Pure."""

import bisect
import itertools

import attrs

from tamarackhaven.fleet._model import KEY_COUNT, KeyRange


def whole():
    """Return the ranges of a service whose keys nobody owns yet."""
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
    new = sorted(new, key=lambda each: each.first)
    result = []
    for old in ranges:
        result.extend(_cut(old, new))
    return _joined(sorted([*result, *new], key=lambda each: each.first))


def _cut(old, new):
    """Return what is left of ``old`` outside ``new``."""
    first = old.first
    for each in new:
        if each.last < first or each.first > old.last:
            continue
        if each.first > first:
            yield attrs.evolve(old, first=first, last=each.first - 1)
        first = each.last + 1
    if first <= old.last:
        yield attrs.evolve(old, first=first)


def _joined(ranges):
    """Join neighbours that differ in their keys only; fewer rows fit a heartbeat."""
    result = []
    for each in ranges:
        last = result[-1] if result else None
        if last is not None and attrs.evolve(last, first=0, last=0) == attrs.evolve(
            each, first=0, last=0
        ):
            result[-1] = attrs.evolve(last, last=each.last)
        else:
            result.append(each)
    return tuple(result)


class RangeIndex:
    """Finds the range of a key."""

    def __init__(self, ranges):
        self.ranges = ranges
        self._firsts = [each.first for each in ranges]

    def find(self, key):
        """Return the ``KeyRange`` of ``key``."""
        return self.ranges[bisect.bisect_right(self._firsts, key) - 1]


def overlaps(one, other):
    """Tell whether two ranges share a key."""
    return one.first <= other.last and other.first <= one.last


def has_overlap(ranges):
    """Tell whether any two of several ranges share a key."""
    ordered = sorted(ranges, key=lambda each: each.first)
    return any(
        following.first <= before.last
        for before, following in itertools.pairwise(ordered)
    )
