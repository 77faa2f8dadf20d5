"""Capacity measurements of single parts, within the process of the bench."""

import gc
import socket
import statistics
import time
import tracemalloc

from tamarackhaven import _codec
from tamarackhaven._events import Event, ResourceChanged, ShardChanged, TargetChanged
from tamarackhaven._feed_wire import PackedEvents, pack
from tamarackhaven._history import Feed
from tamarackhaven._hot_keys import HotKeys
from tamarackhaven._lease_promises import LeasePromises
from tamarackhaven._lease_server import LeaseServer
from tamarackhaven._ledger import BookingAnswer, BookingEnd, BookingTry, Ledger
from tamarackhaven._model import (
    Address,
    AvailabilityZone,
    OwnershipPolicy,
    Service,
    ShardGrant,
    TargetMember,
)
from tamarackhaven._placement import plan
from tamarackhaven._plan import PlacementInputs
from tamarackhaven._settings import (
    BookingSettings,
    LeaseSettings,
    Listen,
    PlacementSettings,
)
from tamarackhaven._state import ClusterState, StateSnapshot
from tamarackhaven._view import View

DESIGN_DAEMONS, DESIGN_SHARDS = 1_500, 65_536
SERVICE = "tracking"
KB, MB = 1e3, 1e6


def seconds(action, times=3):
    """Return the shortest processor time of ``times`` runs of an action, in seconds."""
    durations_s = []
    for _ in range(times):
        gc.collect()
        start = time.process_time()
        action()
        durations_s.append(time.process_time() - start)
    return min(durations_s)


def memory_bytes(make):
    """Return the size of the result of ``make`` and its peak memory, in bytes."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    size, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size, peak


def slope(points):
    """Return slope and intercept of the regression line through ``points``."""
    return statistics.linear_regression(*zip(*points, strict=True))


def table(title, *columns):
    """Print the title and the header row of a Markdown table."""
    print(f"\n**{title}**\n\n| {' | '.join(columns)} |")
    print("|" + "---|" * len(columns))


def row(*cells):
    """Print a row of a Markdown table."""
    print(f"| {' | '.join(str(cell) for cell in cells)} |", flush=True)


def slope_row(name, points, design, unit, scale=1.0):
    """Print a slope and its extrapolation to the design size."""
    per_item, base = slope(points)
    at_design = (base + per_item * design) * scale
    row(
        f"slope: {name}",
        f"{per_item * scale:.3g} {unit} each",
        f"{at_design:.3g} {unit}",
    )


def grant_of(shard, targets):
    """Return the grant of a shard to target ``shard % targets``."""
    number = shard % targets
    return ShardGrant(
        SERVICE, shard, f"track-{number}", 1000 + number, 90_000 + shard, "", 0, 80_000
    )


def shard_events(count, targets=300):
    """Return a change event for each of ``count`` shards."""
    return [ShardChanged(100_000, grant_of(shard, targets)) for shard in range(count)]


def bench_map_changes():
    """Print sizes and times of a map change at a daemon, by shards changed."""
    table(
        "A change of the map at one daemon, by shards",
        "shards", "bytes", "bytes as JSON", "pack ms", "read ms", "apply ms",
    )  # fmt: skip
    sizes, decodes, applies = [], [], []
    for count in (1, 16, 256, 4096):
        events = shard_events(count)
        data = pack(events)
        encode_s = seconds(lambda events=events: pack(events))
        decode_s = seconds(lambda data=data: list(PackedEvents(data)))
        apply_s = seconds(lambda e=events: View().apply(Feed(1, True, e)))
        sizes.append((count, len(data)))
        decodes.append((count, decode_s))
        applies.append((count, apply_s))
        times = [f"{s * 1000:.2f}" for s in (encode_s, decode_s, apply_s)]
        row(count, len(data), len(_codec.dumps(events, list[Event])), *times)
    table("Slopes by shards changed", "what", "for each shard", "all 65,536 at once")
    slope_row("bytes to a daemon", sizes, DESIGN_SHARDS, "MB", 1 / MB)
    slope_row("read", decodes, DESIGN_SHARDS, "ms", 1000)
    slope_row("View.apply", applies, DESIGN_SHARDS, "ms", 1000)


def bench_view_memory():
    """Print the memory of a daemon's view, and the peak on reading its first feed."""
    table("A daemon's view", "shards", "kept MB", "peak of its first feed, MB")
    kept, peaks = [], []
    for count in (1024, 16_384, DESIGN_SHARDS):
        data = pack(shard_events(count))
        size, peak = memory_bytes(lambda d=data: _applied(PackedEvents(d)))
        kept.append((count, size))
        peaks.append((count, peak + len(data)))
        row(count, f"{size / MB:.2f}", f"{peaks[-1][1] / MB:.2f}")
    table("Slopes of memory by shards", "what", "for each shard", "at 65,536")
    slope_row("View", kept, DESIGN_SHARDS, "MB", 1 / MB)
    slope_row("peak with the packed feed", peaks, DESIGN_SHARDS, "MB", 1 / MB)


def _applied(events):
    view = View()
    view.apply(Feed(1, True, events))
    return view


def bench_tables():
    """Print the memory of the booking ledger and of the hot-key sketch."""
    table("A daemon's tables", "what", "entries", "bytes", "bytes an entry")
    points = []
    for count in (1000, 5000, 20_000):
        size, _ = memory_bytes(lambda n=count: _ledger(n))
        points.append((count, size))
        row("ledger, answers of 200 bytes", count, size, f"{size / count:.0f}")
    size, _ = memory_bytes(lambda: _sketch(10_000))
    row("sketch of hot keys, 10,000 keys seen", 256, size, f"{size / 256:.0f}")
    table("Slope of the ledger", "what", "for each entry", "at 20,000 entries")
    slope_row("Ledger", points, 20_000, "MB", 1 / MB)


def _ledger(count):
    ledger = Ledger(BookingSettings(ledger_entries=20_000))
    ledger.adopt(SERVICE, 0, 1, 0.0)
    for number in range(count):
        sent = 10.0 + number / 1000
        booking = BookingTry(
            SERVICE, 0, 1, f"booking-{number:020}", bytes(32), sent, 600.0
        )
        token = ledger.begin(booking, sent).token
        answer = BookingAnswer(
            200, (("Content-Type", "application/json"),), b"%0200d" % number
        )
        ledger.finish(token, BookingEnd.ANSWERED, answer, sent)
    assert len(ledger) == count
    return ledger


def _sketch(keys):
    sketch = HotKeys()
    for key in range(keys):
        sketch.offer(key * 2**40, key / 1000)
    return sketch


def bench_fan_out():
    """Print the processor time of hinting one version at a control VM, by daemons."""
    table("Hints of one version at a control VM", "daemons", "ms of CPU")
    settings = LeaseSettings()
    server = LeaseServer(
        Listen("127.0.0.1", 0), settings, LeasePromises(settings, 0), None, None
    )
    points = []
    with socket.socket(type=socket.SOCK_DGRAM) as sink:
        sink.bind(("0.0.0.0", 0))
        port = sink.getsockname()[1]
        for count in (100, 500, 1500):
            for number in range(count):
                address = f"127.1.{number >> 8}.{number & 255}", port
                server._note_address(address, server._clock() + 60)
            points.append((count, seconds(lambda: server.hint(1))))
            row(count, f"{points[-1][1] * 1000:.2f}")
    server.stop()
    table("Slope of hints by daemons", "what", "for each daemon", "at 1,500")
    slope_row("LeaseServer.hint", points, DESIGN_DAEMONS, "ms", 1000)


def members_of(count):
    """Return ``count`` targets, spread over three zones."""
    address = Address("10.0.0.1", 7000)
    return [
        TargetMember(
            SERVICE, f"track-{n}", f"z{n % 3}", f"{n:032x}", "1", address,
            epoch=1000 + n, version=1000 + n,
        )
        for n in range(count)
    ]  # fmt: skip


def bench_plan():
    """Print the time of a plan without moves, and of one after the loss of a zone."""
    table("A plan of the leader", "shards", "targets", "at rest ms", "zone lost ms")
    points = []
    policy = OwnershipPolicy("p", move_batch=512)
    for shards in (16_384, DESIGN_SHARDS):
        for targets in (300, DESIGN_DAEMONS):
            grants = {s: grant_of(s, targets) for s in range(shards)}
            lost = {
                s: g if s % targets % 3 else ShardGrant(SERVICE, s)
                for s, g in grants.items()
            }
            idle_s = _plan_s(_inputs(shards, policy, targets, grants))
            lost_s = _plan_s(_inputs(shards, policy, targets, lost))
            if targets == DESIGN_DAEMONS:
                points.append((shards, idle_s))
            row(shards, targets, f"{idle_s * 1000:.0f}", f"{lost_s * 1000:.0f}")
    table("Slope of a plan by shards, 1,500 targets", "what", "each", "at 65,536")
    slope_row("plan at rest", points, DESIGN_SHARDS, "ms", 1000)


def _plan_s(inputs):
    return seconds(lambda: plan(inputs, PlacementSettings()), 1)


def _inputs(shards, policy, targets, grants):
    zones = {f"z{n}": AvailabilityZone(f"z{n}") for n in range(3)}
    service = Service(SERVICE, "p", shard_count=shards)
    return PlacementInputs(service, policy, zones, members_of(targets), grants)


def bench_snapshot():
    """Print size and times of a snapshot at a control VM, by shards."""
    table("A snapshot at a control VM", "shards", "MB", "encode ms", "restore ms")
    sizes, encodes, restores = [], [], []
    for shards in (1024, 4096, 16_384):
        state = _state(shards)
        data = _codec.dumps(state.snapshot(), StateSnapshot)
        encode_s = seconds(lambda s=state: _codec.dumps(s.snapshot(), StateSnapshot), 2)
        restore_s = seconds(
            lambda d=data: ClusterState.restored(_codec.loads(d, StateSnapshot)), 2
        )
        sizes.append((shards, len(data)))
        encodes.append((shards, encode_s))
        restores.append((shards, restore_s))
        times = f"{encode_s * 1000:.0f}", f"{restore_s * 1000:.0f}"
        row(shards, f"{len(data) / MB:.2f}", *times)
    table("Slopes of a snapshot by shards", "what", "for each shard", "at 65,536")
    slope_row("bytes", sizes, DESIGN_SHARDS, "MB", 1 / MB)
    slope_row("encode", encodes, DESIGN_SHARDS, "ms", 1000)
    slope_row("restore", restores, DESIGN_SHARDS, "ms", 1000)


def _state(shards):
    events = [
        ResourceChanged(1, AvailabilityZone("z0")),
        ResourceChanged(2, OwnershipPolicy("p")),
        ResourceChanged(3, Service(SERVICE, "p", shard_count=shards)),
        *(TargetChanged(m.version, m) for m in members_of(300)),
        *shard_events(shards),
    ]
    return ClusterState.restored(StateSnapshot(100_000, events, [], []))
