"""What a change of the leader sends to daemons: ``python benches/bench_updates.py``.

All daemons begin a session with a new leader, one after the other, which learns of
their targets with their first reports. Prints, for several numbers of daemons and for
what they have, the most bytes to one daemon, the time that they take on a small link,
the bytes to all, and the leader's processor time for all first reports.
"""

import functools
import random
import sys
import time
from pathlib import Path

import attrs

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tamarackhaven._metrics import Metrics
from tamarackhaven.fleet._daemon_sessions import DaemonSessions
from tamarackhaven.fleet._messages import CONTROL_CODEC, Report, TargetsView
from tamarackhaven.fleet._model import KEY_COUNT, KeyRange, Target, life_of
from tamarackhaven.fleet._state import (
    AssignKeys,
    EditConfiguration,
    FleetState,
    ReplaceConfiguration,
)
from tamarackhaven.routing import (
    Configuration,
    Edit,
    RequestKind,
    Route,
    ServiceSpec,
    WeightedService,
)

LINK_BYTES_PER_S = 412_500
DAEMON_COUNTS = (86, 300, 1500)
ROUTE_COUNT = 1400
RANGES_PER_OWNER = 4


class Log:
    """Discards log lines."""

    def say(self, sentence, **fields):
        """Discard a line."""


@attrs.define(eq=False)
class CountingLink:
    """Counts the bytes that are sent on it."""

    sent_bytes: int = 0

    def send(self, message):
        """Count a message."""
        self.sent_bytes += len(CONTROL_CODEC.pack(message))


def _name(rng):
    return f"{rng.randrange(1 << 40):x}"


def _configuration(rng):
    services = tuple(ServiceSpec(_name(rng), sharded=True) for _ in range(3))
    routes = tuple(
        Route(
            f"r-{_name(rng)}",
            f"{_name(rng)}.example",
            f"/{_name(rng)}/",
            RequestKind.SAFE,
            (WeightedService(rng.choice(services).name, 1.0),),
            round(rng.uniform(0.5, 5.0), 2),
        )
        for _ in range(ROUTE_COUNT)
    )
    return Configuration(1, services, routes)


def _state(rng, targets):
    """Return a state with configuration and owners, and its earlier versions."""
    state = FleetState()
    state.apply(1, ReplaceConfiguration(0, _configuration(rng), "first"))
    for service in state.configuration.services:
        count = RANGES_PER_OWNER * len(targets) // 3
        size = KEY_COUNT // count
        edges = [*range(0, size * count, size), KEY_COUNT]
        ranges = tuple(
            KeyRange(first, end - 1, owner=rng.choice(targets).life)
            for first, end in zip(edges, edges[1:], strict=False)
        )
        present = state.ranges_by_service[service.name]
        state.apply(2, AssignKeys(service.name, ranges, present))
    earlier = tuple(state.versions().values())
    for number in range(3):
        version = state.configuration.version
        route = attrs.evolve(state.configuration.routes[number], timeout_s=9.0)
        edit = Edit(version + 1, routes=(route,))
        state.apply(3 + number, EditConfiguration(version, edit, f"e{number}"))
    return state, earlier


def _targets(rng, count):
    targets = []
    for number in range(count):
        name, host = f"i-{_name(rng)}", f"10.{number // 250}.0.{number % 250}"
        life = life_of(name, rng.randrange(1 << 40), f"{host}:7140")
        targets.append(Target(life, name, 1, _name(rng), "zone", host, 7140, 6))
    return targets


def _identity(view):
    return view


def _measure(targets, what, known, state):
    sessions = DaemonSessions(Log(), Metrics())
    links = [CountingLink() for _ in targets]
    started_s = time.process_time()
    for number, link in enumerate(links, start=1):
        view = TargetsView(1, tuple(targets[:number]), is_whole=True)
        sessions.register(link, "d")
        sessions.record_report(
            link, Report(1, known=known), state, functools.partial(_identity, view)
        )
    used_s = time.process_time() - started_s
    most = max(link.sent_bytes for link in links)
    total = sum(link.sent_bytes for link in links)
    print(
        f"{len(targets):8} {what:22} {most:12} {most / LINK_BYTES_PER_S:12.3f}"
        f" {total / 1e6:10.2f} {used_s:10.3f}"
    )


def main():
    """Print the table."""
    print(
        "daemons  what they have         bytes to one    s on a link   MB to all  CPU s"
    )
    for daemons in DAEMON_COUNTS:
        rng = random.Random(1)
        targets = _targets(rng, daemons)
        state, earlier = _state(rng, targets)
        present = tuple(state.versions().values())
        _measure(targets, "the present state", present, state)
        _measure(targets, "three versions before", earlier, state)
        _measure(targets, "nothing", (), state)


if __name__ == "__main__":
    main()
