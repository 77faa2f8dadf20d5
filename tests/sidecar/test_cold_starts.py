"""What a target gets that may become cold at any moment."""

import random

import pytest

from tamarackhaven.fleet._settings import ColdSettings
from tamarackhaven.routing import ServiceSpec
from tamarackhaven.sidecar._cold_starts import ColdLimits, ColdStarts, cold_limits

SETTINGS = ColdSettings(ratio=1.5, slack=5.0)
SERVICE = ServiceSpec("s", cold_per_s=12.0)
MOST_PER_S = 23
WARM = cold_limits(SERVICE, SETTINGS, is_cold=False)
COLD = cold_limits(SERVICE, SETTINGS, is_cold=True)


def starts_while_cold(per_s, check_s, cold_from_s, rng, is_confirmed=True):
    """Return the starts at a target that becomes cold, and how many it had before.

    Parameters
    ----------
    per_s : float
        Requests that come in a second.
    check_s : float
        How long a reply to a check takes, in seconds.
    cold_from_s : float
        When the target becomes cold, for 3 s.
    rng : random.Random
        Draws the times between requests.
    is_confirmed : bool
        Whether the target replies at all.
    """
    starts = ColdStarts(started_s=-10.0)
    starts.limits = WARM
    now, asked_s, in_cold, before = 0.0, None, [], 0
    while now < cold_from_s + 3.0:
        now += rng.expovariate(per_s)
        if asked_s is not None and now >= asked_s + check_s:
            if asked_s + check_s > cold_from_s:
                starts.limits = COLD
            elif is_confirmed:
                starts.confirm_warm(asked_s)
            asked_s = None
        if starts.has_room(now):
            starts.add(now)
            in_cold += [now] if now >= cold_from_s else []
            before += now < cold_from_s
        if asked_s is None and starts.is_check_due(now):
            asked_s = now
    return in_cold, before


def most_in_a_second(times_s):
    return max((sum(t - 1.0 < u <= t for u in times_s) for t in times_s), default=0)


@pytest.mark.parametrize("per_s", [5, 23, 38, 60, 250])
@pytest.mark.parametrize("check_s", [0.001, 0.05, 0.3])
def test_a_target_that_becomes_cold_unnoticed_gets_no_more_than_it_bears(
    per_s, check_s
):
    # Guards against: a target that becomes cold between two heartbeats gets the full
    # rate until the next one, and crashes.
    for seed in range(20):
        rng = random.Random(seed)
        in_cold, _ = starts_while_cold(per_s, check_s, 5 + rng.random(), rng)
        assert most_in_a_second(in_cold) <= MOST_PER_S


@pytest.mark.parametrize("per_s", [23, 60])
def test_a_target_that_says_that_it_is_warm_gets_all_requests(per_s):
    # Guards against: checks cost a busy target its throughput.
    rng = random.Random(1)
    _, before = starts_while_cold(per_s, 0.005, 20.0, rng)
    assert before > 0.97 * 20 * per_s


def test_a_target_that_does_not_reply_gets_what_a_cold_one_bears():
    in_cold, before = starts_while_cold(60, 0.3, 5.0, random.Random(1), False)
    assert most_in_a_second(in_cold) <= MOST_PER_S
    assert before <= 5 * MOST_PER_S


def test_a_restarted_daemon_asks_before_it_starts_more():
    # Guards against: what the former process started counts as nothing.
    starts = ColdStarts(started_s=10.0)
    starts.limits = WARM
    assert starts.is_check_due(10.1)
    assert not starts.has_room(10.1)
    starts.confirm_warm(10.1)
    assert starts.has_room(10.2)
    assert not starts.is_check_due(10.2)


def test_a_service_without_a_cold_rate_is_not_asked():
    starts = ColdStarts(started_s=-10.0)
    starts.limits = cold_limits(ServiceSpec("s"), SETTINGS, is_cold=False)
    assert starts.limits == ColdLimits()
    for number in range(500):
        starts.add(number / 1000)
    assert starts.has_room(0.5)
    assert not starts.is_check_due(0.5)
