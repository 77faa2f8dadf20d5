"""Compares operations on key ranges with a table of one row per key."""

import attrs
from hypothesis import given, settings, strategies as st

from tamarackhaven.fleet._model import KEY_COUNT, KeyRange
from tamarackhaven.fleet._ranges import RangeIndex, assigned, whole

OWNERS = st.sampled_from(["", "a", "b"])
# Few different keys, so that ranges often overlap, cover or adjoin each other.
CUTS = st.sets(st.integers(1, 30), min_size=1, max_size=8)


def ranges(cuts, rows):
    """Return ranges between consecutive cuts, each with a row of ``rows``."""
    edges = sorted(cuts)
    pairs = zip(edges, edges[1:], rows, strict=False)
    return [
        KeyRange(first, last - 1, fence, owner)
        for first, last, (fence, owner) in pairs
        if owner != "b" or fence
    ]


def table(by_range):
    """Return the row of each key, as a list by key."""
    rows = []
    for each in by_range:
        row = attrs.evolve(each, first=0, last=0)
        rows += [row] * (each.last - each.first + 1)
    return rows


CHANGES = st.lists(
    st.builds(
        ranges,
        CUTS,
        st.lists(st.tuples(st.integers(0, 1), OWNERS), min_size=8, max_size=8),
    ),
    max_size=6,
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(CHANGES)
def test_assigned_ranges_agree_with_a_table_by_key(changes):
    known = whole()
    expected = table(known)
    for change in changes:
        known = assigned(known, change)
        for each in change:
            row = attrs.evolve(each, first=0, last=0)
            expected[each.first : each.last + 1] = [row] * (each.last - each.first + 1)
        assert table(known) == expected
        assert len(expected) == KEY_COUNT
        for one, other in zip(known, known[1:], strict=False):
            assert attrs.evolve(one, first=0, last=0) != attrs.evolve(
                other, first=0, last=0
            )
        assert RangeIndex(known).find(7).owner == expected[7].owner
