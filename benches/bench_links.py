"""Simulates bodies and short calls on a slow link: ``python benches/bench_links.py``.

Many daemons send request bodies to one target over its VM's link, with short calls in
between. Compares sending each body at once on arrival with fetching bodies in parts, as
the product does, and with an upper bound on the bodies in time for any order. Prints
for several loads how long calls queue behind bodies, how many bodies are complete in
time, which fraction of the link carries bodies that complete before their deadline, and
how long after its announcement a body is refused.
"""

import random
import sys
from pathlib import Path

import attrs

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standin.simulated_link import Patience, SimulatedLink
from tamarackhaven.sidecar._arrivals import BodyTransfers
from tamarackhaven.sidecar._gate import Offer

LINK_BYTES_PER_S = 412_500.0
MEAN_BYTES = 60_000
SIZE_SIGMA = 0.6
BODY_COUNT = 1000
OBJECTIVE_S = 1.5
DEADLINE_S = 3.8
WORK_S = 0.24
LOADS = (0.7, 0.9, 1.1, 1.5, 2.5)
POLL_INTERVAL_S = 0.05
SEEDS = (1, 2, 3)


@attrs.frozen
class Body:
    """A request body of ``size`` bytes that arrives ``at_s`` into the run."""

    at_s: float
    size: int

    @property
    def objective_at_s(self):
        """Latest time of completion that meets the objective."""
        return self.at_s + OBJECTIVE_S - WORK_S

    @property
    def deadline_at_s(self):
        """Latest time of completion that meets the deadline."""
        return self.at_s + DEADLINE_S - WORK_S


@attrs.define
class Result:
    """Figures of one run."""

    call_waits_s: list = attrs.field(factory=list)
    in_time: int = 0
    useful_bytes: int = 0
    seconds: float = 0.0
    refused_after_s: list = attrs.field(factory=list)

    def add(self, body, complete_s):
        """Count a body that was complete at ``complete_s``."""
        self.in_time += complete_s <= body.objective_at_s
        self.useful_bytes += body.size if complete_s <= body.deadline_at_s else 0


def draw_bodies(load, seed):
    """Return the bodies of a run that offers ``load`` times the link's capacity."""
    source = random.Random(seed)
    now, bodies = 0.0, []
    for _ in range(BODY_COUNT):
        now += source.expovariate(load * LINK_BYTES_PER_S / MEAN_BYTES)
        size = MEAN_BYTES * source.lognormvariate(
            -SIZE_SIGMA * SIZE_SIGMA / 2, SIZE_SIGMA
        )
        bodies.append(Body(now, int(size)))
    return bodies


def at_once(bodies):
    """Send each body as soon as it arrives."""
    result = Result(seconds=bodies[-1].at_s)
    link_free_s = 0.0
    for body in bodies:
        result.call_waits_s.append(max(link_free_s - body.at_s, 0.0))
        link_free_s = max(link_free_s, body.at_s) + body.size / LINK_BYTES_PER_S
        result.add(body, link_free_s)
    return result


def in_parts(bodies):
    """Fetch the bodies in parts, as the product does."""
    result = Result(seconds=bodies[-1].at_s)
    link = SimulatedLink(LINK_BYTES_PER_S, arrivals=BodyTransfers(Patience(WORK_S)))
    for number, body in enumerate(bodies):
        while link.now < body.at_s:
            link.run(min(link.now + POLL_INTERVAL_S, body.at_s))
            refuse(link, bodies, result)
        result.call_waits_s.append(link.queue_s)
        offer = Offer(0, "r", 1, body.at_s + OBJECTIVE_S, body.at_s + DEADLINE_S)
        link.arrivals.announce(number, body.size, offer)
        refuse(link, bodies, result)
    for number, complete_s in link.whole_s_by_key.items():
        result.add(bodies[number], complete_s)
    return result


def refuse(link, bodies, result):
    """Refuse the bodies that the product would refuse now."""
    for number, _ in link.arrivals.bodies_to_refuse(link.now):
        link.arrivals.drop(number)
        result.refused_after_s.append(link.now - bodies[number].at_s)


def max_in_time(bodies):
    """Return an upper bound on the bodies in time.

    It counts the smallest bodies that the link can carry up to the last objective.
    """
    left = LINK_BYTES_PER_S * (bodies[-1].at_s + OBJECTIVE_S)
    count = 0
    for size in sorted(body.size for body in bodies):
        left -= size
        count += left >= 0
    return count


def percentile(values, fraction):
    """Return a percentile of values, or 0 if there are none."""
    ordered = sorted(values) or [0.0]
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]


def format_line(name, load, results):
    """Return the line of output for one way of sending under one load."""
    waits = [wait for each in results for wait in each.call_waits_s]
    refused = [after for each in results for after in each.refused_after_s]
    seconds = sum(each.seconds for each in results)
    useful = sum(each.useful_bytes for each in results) / seconds / LINK_BYTES_PER_S
    in_time = sum(each.in_time for each in results) / len(results) / BODY_COUNT
    return (
        f"{load:4} {name:9} calls wait {percentile(waits, 0.5):7.3f}"
        f" {percentile(waits, 0.99):7.3f} s   in time {in_time:6.1%}"
        f"   of use {useful:6.1%}   refused after {percentile(refused, 0.99):.3f} s"
    )


def main():
    """Print a line for each load and way of sending."""
    print(
        "load way       calls' wait p50, p99; bodies in time; link of use; refusals p99"
    )
    for load in LOADS:
        runs = [draw_bodies(load, seed) for seed in SEEDS]
        for way in (at_once, in_parts):
            print(format_line(way.__name__, load, [way(bodies) for bodies in runs]))
        bound = sum(map(max_in_time, runs)) / len(runs) / BODY_COUNT
        print(f"{load:4} {'any order':9} at most in time {bound:6.1%}")


if __name__ == "__main__":
    main()
