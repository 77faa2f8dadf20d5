"""Which bodies are transferred next and which are refused, on simulated links."""

import random

import pytest

from standin.simulated_link import Patience, SimulatedLink
from tamarackhaven.sidecar._arrivals import (
    MIN_PART_BYTES,
    MIN_PARTS_IN_FLIGHT,
    STALL_TIMEOUT_S,
    BodyTransfers,
)
from tamarackhaven.sidecar._gate import Offer

NARROW_BYTES_PER_S = 412_500.0
# How long a short call may wait behind bodies, of the 0.2 s that it has.
MAX_CALL_WAIT_S = 0.1


def offer(objective_s=1.0, deadline_s=3.0, priority=1):
    return Offer(0, "r", priority, objective_s, deadline_s)


def test_a_saturated_link_keeps_a_short_queue():
    # Guards against: the round trip is measured by parts that waited behind others, so
    # that a longer queue allows an even longer one.
    link = SimulatedLink(NARROW_BYTES_PER_S)
    for number in range(400):
        link.arrivals.announce(number, 60_000, offer(1000.0, 1000.0))
    link.run(20.0)
    assert link.longest_queue_s < MAX_CALL_WAIT_S
    assert link.came_bytes > 0.9 * 20.0 * NARROW_BYTES_PER_S


@pytest.mark.parametrize(
    ("bytes_per_s", "latency_s"), [(10e6, 0.07), (100e6, 0.001), (1e6, 0.02)]
)
def test_a_link_with_high_latency_or_throughput_is_utilized(bytes_per_s, latency_s):
    link = SimulatedLink(bytes_per_s, latency_s)
    for number in range(40):
        link.arrivals.announce(number, int(bytes_per_s), offer(1000.0, 1000.0))
    link.run(10.0)
    came_bytes = link.came_bytes
    link.run(20.0)
    assert link.came_bytes - came_bytes > 0.5 * 10.0 * bytes_per_s


def test_a_stalled_sender_does_not_block_the_others():
    # Guards against: a stalled daemon holds all parts that may be in flight.
    arrivals = BodyTransfers(Patience())
    arrivals.announce("frozen", 10_000, offer())
    arrivals.announce("other", 60_000, offer())
    first = arrivals.next_parts(0.0)
    assert {part.key for part in first} == {"frozen", "other"}
    now = 0.0
    for part in first:
        if part.key == "other":
            now += 0.01
            arrivals.part_received(part.key, part.offset, part.count, now)
    later_parts = arrivals.next_parts(now + STALL_TIMEOUT_S)
    assert (
        sum(part.count for part in later_parts)
        >= (MIN_PARTS_IN_FLIGHT - 1) * MIN_PART_BYTES
    )
    assert {part.key for part in later_parts} == {"other"}


def test_more_bodies_are_in_time_than_in_order_of_arrival():
    # Bodies of many sizes, 1.5 times the bytes that the link carries. In order of
    # arrival, each would be later than the one before, and most would be late.
    source = random.Random(5)
    sizes = [int(60_000 * source.lognormvariate(-0.2, 0.6)) for _ in range(300)]
    interval_s = sum(sizes) / len(sizes) / NARROW_BYTES_PER_S / 1.5
    link = SimulatedLink(NARROW_BYTES_PER_S)
    refused = link_free_s = in_time_in_order = 0
    for number, size in enumerate(sizes):
        at_s = number * interval_s
        link.run(at_s)
        link.arrivals.announce(number, size, offer(at_s + 1.0, at_s + 3.0))
        for key, _ in link.arrivals.bodies_to_refuse(at_s):
            link.arrivals.drop(key)
            refused += 1
        link_free_s = max(link_free_s, at_s) + size / NARROW_BYTES_PER_S
        in_time_in_order += link_free_s <= at_s + 1.0
    in_time = sum(
        whole_s <= key * interval_s + 1.0
        for key, whole_s in link.whole_s_by_key.items()
    )
    assert in_time > 2 * in_time_in_order
    # Refused bodies weren't begun, so nearly all bytes that arrived were useful.
    assert refused + in_time > 0.9 * len(sizes)


def test_only_bodies_that_have_not_begun_are_refused_for_a_long_queue():
    arrivals = BodyTransfers(Patience())
    for number in range(30):
        arrivals.announce(number, 60_000, offer())
    assert not arrivals.bodies_to_refuse(0.0)
    begun_keys = set()
    for part in arrivals.next_parts(0.0):
        begun_keys.add(part.key)
        arrivals.part_received(part.key, part.offset, part.count, 0.01)
    refused = {key for key, _ in arrivals.bodies_to_refuse(0.02)}
    assert refused
    assert not refused & begun_keys
    assert len(refused) < 30 - len(begun_keys)


def test_a_begun_body_is_refused_if_it_would_miss_its_deadline():
    arrivals = BodyTransfers(Patience())
    arrivals.announce("a", 500_000, offer(1.0, 2.0))
    now = 0.0
    for part in arrivals.next_parts(now):
        now += 0.01
        arrivals.part_received(part.key, part.offset, part.count, now)
    assert not arrivals.bodies_to_refuse(now)
    assert [key for key, _ in arrivals.bodies_to_refuse(1.9)] == ["a"]


def test_parts_lost_with_a_link_are_requested_again():
    arrivals = BodyTransfers(Patience())
    arrivals.announce("a", 60_000, offer())
    first, *_ = arrivals.next_parts(0.0)
    arrivals.restart_transfer("a")
    # A late part from the former link isn't accepted twice.
    assert not arrivals.part_received("a", first.offset, first.count, 0.01)
    assert arrivals.next_parts(0.02)[0] == first


def test_an_urgent_or_short_body_is_requested_first():
    arrivals = BodyTransfers(Patience())
    arrivals.announce("large", 200_000, offer())
    arrivals.announce("small", 9_000, offer())
    arrivals.announce("urgent", 60_000, offer(priority=0))
    assert arrivals.next_parts(0.0)[0].key == "urgent"
    arrivals.drop("urgent")
    arrivals.restart_transfer("large")
    arrivals.restart_transfer("small")
    assert arrivals.next_parts(1.0)[0].key == "small"


def test_a_begun_body_is_completed_even_if_it_becomes_late():
    # Guards against: a body becomes late when half of it has arrived, shorter ones keep
    # passing it, and its caller learns only seconds later that it didn't run.
    source = random.Random(1)
    link = SimulatedLink(NARROW_BYTES_PER_S)
    at_s_by_key = {}
    at_s = 0.0
    for key in range(600):
        at_s += source.expovariate(1.5 * NARROW_BYTES_PER_S / 60_000)
        while link.now < at_s:
            link.run(min(link.now + 0.05, at_s))
            for refused, _ in link.arrivals.bodies_to_refuse(link.now):
                assert link.now - at_s_by_key[refused] < 1.0
                link.arrivals.drop(refused)
        size = int(60_000 * source.lognormvariate(-0.2, 0.6))
        at_s_by_key[key] = at_s
        link.arrivals.announce(key, size, offer(at_s + 1.0, at_s + 3.0))
