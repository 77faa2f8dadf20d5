"""What an acknowledgement costs: ``python benches/bench_acknowledgements.py``.

All daemons have a session and take one change. Prints, for several numbers of daemons,
the bytes of their messages, the leader's processor time to read them, and that of one
look at who lacks the change, of which an order that waits takes 50 a second.
"""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benches.bench_updates import CountingLink, Log
from tamarackhaven._clock import boot_s
from tamarackhaven._metrics import Metrics
from tamarackhaven.fleet._daemon_sessions import DaemonSessions
from tamarackhaven.fleet._leader_hints import LeaderHints
from tamarackhaven.fleet._messages import (
    CONFIGURATION_PART,
    CONTROL_CODEC,
    DaemonHello,
    LeaderHint,
    Report,
    TargetsView,
    UpdateTaken,
)
from tamarackhaven.fleet._state import FleetState

DAEMON_COUNTS = (86, 300, 1500)
CONTROL_ADDRESSES = tuple((f"10.0.0.{n}", 7600) for n in range(5))


def begin_sessions(count):
    """Return the sessions of ``count`` daemons, and their links."""
    sessions = DaemonSessions(Log(), Metrics())
    state = FleetState()
    links = [CountingLink() for _ in range(count)]
    for number, link in enumerate(links):
        sessions.register(link, f"10.1.{number // 250}.{number % 250}:7600")
        sessions.record_report(link, Report(1), state, lambda: TargetsView(1, ()))
    return sessions, links


def announce(links):
    """Tell the daemons at the other ends of ``links`` that this control VM leads."""
    hint = LeaderHint(False, 2, CONTROL_ADDRESSES[0], CONTROL_ADDRESSES)
    hints = LeaderHints(None, lambda: None, lambda is_leader: hint, None)
    for link in links:
        hints.add(link, DaemonHello("10.1.0.0:7600", "boot"))
    started_s = time.process_time()
    hints.announce(is_leader=False)
    return time.process_time() - started_s


def main():
    """Print one row for each number of daemons."""
    print("daemons  bytes  read ms  look ms  announce ms")
    for count in DAEMON_COUNTS:
        sessions, links = begin_sessions(count)
        packed = [CONTROL_CODEC.pack(UpdateTaken(CONFIGURATION_PART, 7)) for _ in links]
        started_s = time.process_time()
        for link, data in zip(links, packed, strict=True):
            message = CONTROL_CODEC.unpack(data)
            sessions.record_taken(link, message.part, message.index)
        read_s = time.process_time() - started_s
        started_s = time.process_time()
        without = sessions.daemons_without({CONFIGURATION_PART: 8}, boot_s())
        look_s = time.process_time() - started_s
        if len(without) != count:
            raise AssertionError("every daemon lacks the next change")
        row = (
            sum(map(len, packed)),
            read_s * 1000,
            look_s * 1000,
            announce(links) * 1000,
        )
        print(f"{count:7}  {row[0]:5}  {row[1]:7.2f}  {row[2]:7.2f}  {row[3]:11.2f}")


if __name__ == "__main__":
    main()
