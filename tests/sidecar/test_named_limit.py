"""Which limit is in force, when answers overtake each other and values are bad."""

import pytest

from tamarackhaven.sidecar import TargetNotice
from tamarackhaven.sidecar._named_limit import PROBE_INTERVAL_S, NamedLimit

NO_LIMIT = TargetNotice()
UNREADABLE = TargetNotice(is_limit_unreadable=True)


@pytest.fixture
def limit():
    """Return a limit of 2 requests per second that was named at 10.0 s."""
    limit = NamedLimit()
    assert limit.record(TargetNotice(2.0), 9.8, 10.0)
    return limit


@pytest.mark.parametrize("notice", [NO_LIMIT, TargetNotice(5.0)])
def test_an_overtaken_answer_neither_ends_nor_raises_a_limit(limit, notice):
    assert not limit.record(notice, 9.9, 10.1)
    assert limit.per_s == 2.0


@pytest.mark.parametrize(("notice", "per_s"), [(NO_LIMIT, None), (TargetNotice(5), 5)])
def test_an_answer_to_a_later_request_ends_or_raises_a_limit(limit, notice, per_s):
    assert limit.record(notice, 10.0, 10.3)
    assert limit.per_s == per_s


def test_any_answer_lowers_a_limit(limit):
    assert limit.record(TargetNotice(0.5), 9.0, 10.1)
    assert limit.per_s == 0.5


@pytest.mark.parametrize("sent_s", [9.9, 10.5])
def test_a_value_that_cannot_be_read_neither_ends_nor_begins_a_limit(limit, sent_s):
    assert not limit.record(UNREADABLE, sent_s, 11.0)
    assert limit.per_s == 2.0
    assert not NamedLimit().record(UNREADABLE, sent_s, 11.0)


@pytest.mark.parametrize(("named", "rate"), [(0.0, 1 / PROBE_INTERVAL_S), (1.7, 1.7)])
def test_a_target_that_accepts_nothing_is_still_asked_now_and_then(named, rate):
    # Guards against: nothing is sent, so no answer ever says that the limit has ended.
    limit = NamedLimit()
    limit.record(TargetNotice(named), 0.0, 0.1)
    assert limit.start_rate_per_s == rate


def test_without_a_limit_any_number_may_start():
    assert NamedLimit().start_rate_per_s is None


def test_the_word_of_other_daemons_counts_until_an_answer_is_read():
    # Guards against: a daemon that has just started counts from nothing and floods a
    # target whose limit all other daemons know.
    limit = NamedLimit()
    assert limit.adopt(3.0, 1.0)
    assert limit.adopt(2.0, 1.1)
    assert not limit.adopt(4.0, 1.2)
    assert limit.per_s == 2.0 and limit.is_from_peer
    assert limit.record(NO_LIMIT, 1.2, 1.5)
    assert not limit.adopt(2.0, 1.6)
    assert limit.per_s is None
