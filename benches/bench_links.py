"""Bodies and short calls on one VM's narrow link: ``python benches/bench_links.py``.

Many daemons send bodies to one target; short calls come in between. In simulated time,
for three ways: all bodies at once in the order in which they come, asked for in parts
(the product), and the most that any order could have in time. Prints, for several
loads, how long calls stand behind bodies, how many bodies are in time, what part of
the link brings bodies that are of use, and how late a refusal is.
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
SPREAD = 0.6
BODIES = 1000
OBJECTIVE_S = 1.5
DEADLINE_S = 3.8
WORK_S = 0.24
LOADS = (0.7, 0.9, 1.1, 1.5, 2.5)
LOOK_S = 0.05
SEEDS = (1, 2, 3)


@attrs.frozen
class Body:
    """A body that comes at a time of the run."""

    at_s: float
    size: int

    @property
    def in_time_s(self):
        """Until when it must be whole."""
        return self.at_s + OBJECTIVE_S - WORK_S

    @property
    def useless_s(self):
        """From when on it is of no use."""
        return self.at_s + DEADLINE_S - WORK_S


@attrs.define
class Result:
    """What one run gave."""

    call_waits_s: list = attrs.field(factory=list)
    in_time: int = 0
    useful_bytes: int = 0
    seconds: float = 0.0
    refused_after_s: list = attrs.field(factory=list)

    def note(self, body, whole_s):
        """Take in when a body was whole."""
        self.in_time += whole_s <= body.in_time_s
        self.useful_bytes += body.size if whole_s <= body.useless_s else 0


def drawn(load, seed):
    """Return the bodies of a run, ``load`` times what the link carries."""
    source = random.Random(seed)
    now, bodies = 0.0, []
    for _ in range(BODIES):
        now += source.expovariate(load * LINK_BYTES_PER_S / MEAN_BYTES)
        size = MEAN_BYTES * source.lognormvariate(-SPREAD * SPREAD / 2, SPREAD)
        bodies.append(Body(now, int(size)))
    return bodies


def at_once(bodies):
    """Send each body when it comes."""
    result = Result(seconds=bodies[-1].at_s)
    free_s = 0.0
    for body in bodies:
        result.call_waits_s.append(max(free_s - body.at_s, 0.0))
        free_s = max(free_s, body.at_s) + body.size / LINK_BYTES_PER_S
        result.note(body, free_s)
    return result


def in_parts(bodies):
    """Let the product ask for the bodies."""
    result = Result(seconds=bodies[-1].at_s)
    link = SimulatedLink(LINK_BYTES_PER_S, arrivals=BodyTransfers(Patience(WORK_S)))
    for number, body in enumerate(bodies):
        while link.now < body.at_s:
            link.run(min(link.now + LOOK_S, body.at_s))
            refuse(link, bodies, result)
        result.call_waits_s.append(link.queue_s)
        offer = Offer(0, "r", 1, body.at_s + OBJECTIVE_S, body.at_s + DEADLINE_S)
        link.arrivals.announce(number, body.size, offer)
        refuse(link, bodies, result)
    for number, whole_s in link.whole_s_by_key.items():
        result.note(bodies[number], whole_s)
    return result


def refuse(link, bodies, result):
    """Refuse what the product would refuse now."""
    for number, _ in link.arrivals.bodies_to_refuse(link.now):
        link.arrivals.drop(number)
        result.refused_after_s.append(link.now - bodies[number].at_s)


def most_in_time(bodies):
    """Return a bound on the bodies in time: the smallest that the link carries."""
    left = LINK_BYTES_PER_S * (bodies[-1].at_s + OBJECTIVE_S)
    count = 0
    for size in sorted(body.size for body in bodies):
        left -= size
        count += left >= 0
    return count


def percentile(values, part):
    """Return a percentile of values, 0 without any."""
    ordered = sorted(values) or [0.0]
    return ordered[min(int(part * len(ordered)), len(ordered) - 1)]


def line(name, load, results):
    """Return the line for people of one way under one load."""
    waits = [wait for each in results for wait in each.call_waits_s]
    refused = [after for each in results for after in each.refused_after_s]
    seconds = sum(each.seconds for each in results)
    useful = sum(each.useful_bytes for each in results) / seconds / LINK_BYTES_PER_S
    in_time = sum(each.in_time for each in results) / len(results) / BODIES
    return (
        f"{load:4} {name:9} calls wait {percentile(waits, 0.5):7.3f}"
        f" {percentile(waits, 0.99):7.3f} s   in time {in_time:6.1%}"
        f"   of use {useful:6.1%}   refused after {percentile(refused, 0.99):.3f} s"
    )


def main():
    """Print a line for each way and load."""
    print(
        "load way       calls' wait p50, p99; bodies in time; link of use; refusals p99"
    )
    for load in LOADS:
        runs = [drawn(load, seed) for seed in SEEDS]
        for way in (at_once, in_parts):
            print(line(way.__name__, load, [way(bodies) for bodies in runs]))
        bound = sum(map(most_in_time, runs)) / len(runs) / BODIES
        print(f"{load:4} {'any order':9} at most in time {bound:6.1%}")


if __name__ == "__main__":
    main()
