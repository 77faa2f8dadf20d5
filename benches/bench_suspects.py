"""What requests under which targets end cost: ``python benches/bench_suspects.py``.

Prints, for several numbers of suspects, what one more end of a target costs the leader
and each daemon; and what each request costs a daemon.
"""

import asyncio
import random
import sys
import time
import tracemalloc
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benches.bench_updates import CountingLink, Log
from tamarackhaven._metrics import Metrics
from tamarackhaven.fleet._daemon_sessions import DaemonSessions
from tamarackhaven.fleet._messages import CONTROL_CODEC, Report, TargetsView
from tamarackhaven.fleet._model import life_of
from tamarackhaven.fleet._state import FleetState, encode
from tamarackhaven.fleet._suspects import (
    MAX_SUSPECTS,
    OpenRun,
    TargetEnd,
    UpdateSuspects,
)
from tamarackhaven.fleet._trials import Trials
from tamarackhaven.sidecar import CallerRequest
from tamarackhaven.sidecar._end_notices import EndNotices
from tamarackhaven.sidecar._messages import PEER_CODEC, TargetEnded
from tamarackhaven.sidecar._peer_server import PeerServer
from tamarackhaven.sidecar._request_digest import DIGEST_BYTES, request_digest
from tamarackhaven.sidecar._suspects import KnownSuspects
from tamarackhaven.sidecar._view import View

DAEMONS = 1500
SLOTS = 12
BODY_BYTES = (0, 60_000, 1 << 20, 64 << 20)
REPEATS = 20


def _end(rng, number):
    """Return the end of a target with all slots taken."""
    life = life_of(f"i-{number:x}", 1_700_000_000_000 + number, f"10.0.0.{number}:7600")
    runs = tuple(OpenRun(rng.randbytes(DIGEST_BYTES)) for _ in range(SLOTS))
    return TargetEnd(life, runs)


def _state_with(rng, count):
    state = FleetState()
    for number in range(count // SLOTS):
        state.apply(number + 1, UpdateSuspects(ends=(_end(rng, number),)))
    return state


def _measure_end(count):
    """Print what one more end costs with ``count`` suspects."""
    rng = random.Random(1)
    state = _state_with(rng, count)
    sessions = DaemonSessions(Log(), Metrics())
    links = [CountingLink() for _ in range(DAEMONS)]
    known = tuple(state.versions().values())
    for link in links:
        sessions.register(link, "d")
        report = Report(1, known=known)
        sessions.record_report(link, report, state, lambda: TargetsView(1, ()))
    before = sum(link.sent_bytes for link in links)
    trials = Trials(2.25)
    used_s, command_bytes = 0.0, 0
    for repeat in range(REPEATS):
        report = Report(2, ends=(_end(rng, 100_000 + repeat),))
        started_s = time.process_time()
        trials.record("d", report, state, repeat)
        command = trials.update(state, repeat)
        command_bytes = len(encode(command))
        state.apply(1_000_000 + repeat, command)
        trials.close(command)
        sessions.send_updates(state)
        used_s += time.process_time() - started_s
    sent = (sum(link.sent_bytes for link in links) - before) / REPEATS
    view = View()
    whole = CONTROL_CODEC.unpack(sessions._update_cache.suspects(state, -1).data)
    tracemalloc.start()
    view.apply_update(whole)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    whole_bytes = len(CONTROL_CODEC.pack(whole))
    report_bytes = len(CONTROL_CODEC.pack(report)) - len(CONTROL_CODEC.pack(Report(2)))
    print(
        f"{len(state.suspect_by_request):8} {command_bytes:12} {report_bytes:10}"
        f" {sent / DAEMONS:14.0f} {1000 * used_s / REPEATS:12.1f} {whole_bytes:12}"
        f" {memory:12}"
    )


def _measure_notice():
    """Print what it costs to tell all daemons with a link of an end."""
    end = _end(random.Random(3), 1)
    requests = [run.request for run in end.runs]
    server = PeerServer("boot", None, None)
    links = [CountingLink() for _ in range(DAEMONS)]
    server._link_by_boot = dict(enumerate(links))
    started_s = time.process_time()
    message = PEER_CODEC.packed(TargetEnded(end.life, tuple(requests)))
    server.send_to_all(message)
    used_s = time.process_time() - started_s
    size = len(message.data)
    print(f"{size} bytes to each, {1000 * used_s:.1f} ms for {DAEMONS} links")
    notices = EndNotices(KnownSuspects(), View(), None, Metrics())
    notices._remember(end.life, requests)
    started_s = time.process_time()
    for _ in range(DAEMONS):
        notices.receive(PEER_CODEC.unpack(message.data))
    used_s = time.process_time() - started_s
    print(f"{1000 * used_s:.1f} ms to receive {DAEMONS} copies")


def _measure_digest(body_bytes):
    head = (b"Host", b"h.example")
    count = max(5, min(20_000, 50_000_000 // (body_bytes + 2_000)))
    request = CallerRequest(
        "a", 1.0, 7, "h.example", "GET", "/a/b?c=d", (head,), bytes(body_bytes)
    )
    started_s = time.process_time()
    for _ in range(count):
        request_digest(request)
    used_s = time.process_time() - started_s
    print(f"{body_bytes:12} {1e6 * used_s / count:14.1f}")


def _measure_phase(count):
    rng = random.Random(2)
    suspects = KnownSuspects()
    suspects.apply(_state_with(rng, count).suspect_by_request)
    requests = [rng.randbytes(DIGEST_BYTES) for _ in range(1000)]
    started_s = time.process_time()
    for _ in range(100):
        for request in requests:
            suspects.phase(request, 0.0)
    used_s = time.process_time() - started_s
    print(f"{count:8} {1e6 * used_s / 100_000:14.2f}")


def main():
    """Print the tables."""
    print(
        f"One more end of a target with {SLOTS} requests, {DAEMONS} daemons:\n"
        "suspects  log, bytes  report, B  to each, bytes  leader, ms  all, bytes"
        "  a daemon's memory, bytes"
    )
    for count in (0, 120, MAX_SUSPECTS):
        _measure_end(count)
    print("\nTelling the daemons that send to a target of its end:")
    _measure_notice()
    print("\nThe digest of a request:\nbody, bytes   microseconds")
    for body_bytes in BODY_BYTES:
        _measure_digest(body_bytes)
    print("\nA request that is no suspect:\nsuspects  microseconds a look")
    for count in (0, MAX_SUSPECTS):
        _measure_phase(count)


async def _run():
    main()


if __name__ == "__main__":
    asyncio.run(_run())
