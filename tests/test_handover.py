"""Tests of planned moves at the old owner."""

import attrs
import pytest

from tamarackhaven._changes import Outcome
from tamarackhaven._handover import ArrivedParts, Handover, decode_part, encode_part
from tamarackhaven._ledger import (
    BookingAnswer,
    BookingEnd,
    BookingTry,
    Ledger,
    Replay,
)
from tamarackhaven._logs import Log
from tamarackhaven._model import Address, ShardGrant, TargetMember
from tamarackhaven._settings import BookingSettings
from tamarackhaven.errors import ErrorKind, TamarackhavenError
from tests.fakes import daemon_settings

MOVING = ShardGrant("s", 3, "t1", epoch=5, grant=7, moving_to="t2")
NEXT_OWNER = TargetMember("s", "t2", "b", "i2", "1", Address("127.0.0.1", 1))


class FakeView:
    def __init__(self):
        self.grants = [MOVING]

    def owned_by(self, service, target):
        return self.grants

    def member(self, service, target):
        return NEXT_OWNER

    def shard_count(self, service):
        return 8


@attrs.define
class FakeDaemon:
    events: list
    running: int = 0

    def stop_admitting(self, service, shard):
        self.events.append("stop")

    def resume(self, service, shard):
        self.events.append("resume")

    def in_flight_of(self, grant, shard_count):
        return self.running

    def export_ledger(self, service, shard):
        self.events.append("ledger")


@attrs.define
class FakeClient:
    events: list
    error: TamarackhavenError | None = None

    def change(self, change, timeout_s):
        self.events.append("release")
        if self.error:
            raise self.error
        return Outcome()


@attrs.define
class FakeLease:
    held: bool = True

    def holds(self):
        return self.held

    def epoch(self):
        return 5


class Bench:
    """A handover whose steps are taken one by one."""

    def __init__(self):
        self.events = []
        self.view = FakeView()
        self.daemon = FakeDaemon(self.events)
        self.client = FakeClient(self.events)
        self.lease = FakeLease()
        log = Log("handover", write=lambda **fields: None)
        self.handover = Handover(
            daemon_settings(), self.daemon, self.view, self.client, self.lease, log
        )


@pytest.fixture
def bench():
    return Bench()


def test_shard_is_released_after_its_last_request_and_its_ledger(bench):
    """A shard moves while a request for it runs.

    Released at once, the next owner would serve the key while the old one is still
    at work on it; without the ledger it could not know bookings made here.
    """
    bench.daemon.running = 1
    bench.handover.step()
    bench.handover.step()
    assert bench.events == ["stop"]
    bench.daemon.running = 0
    bench.handover.step()
    assert bench.events == ["stop", "ledger", "release"]


def test_nothing_is_released_without_the_lease(bench):
    """A process that just joined has an epoch but not yet the lease.

    An earlier process of that name may still hold its own; a shard given away now
    would have two owners.
    """
    bench.lease.held = False
    bench.handover.step()
    assert bench.events == ["stop"]


def test_a_move_taken_back_before_the_release_reopens_the_shard(bench):
    bench.daemon.running = 1
    bench.handover.step()
    bench.view.grants = [attrs.evolve(MOVING, moving_to="")]
    bench.handover.step()
    assert bench.events == ["stop", "resume"]


def test_a_release_of_unknown_outcome_never_reopens_the_shard(bench):
    """The answer to a release is lost, and the map still shows the shard as owned.

    It may be another target's by now. Only a newer grant may open it here.
    """
    bench.client.error = TamarackhavenError(ErrorKind.CHANGE_UNCONFIRMED)
    with pytest.raises(TamarackhavenError):
        bench.handover.step()
    bench.view.grants = [attrs.evolve(MOVING, moving_to="")]
    bench.handover.step()
    assert "resume" not in bench.events


def test_a_ledger_part_survives_the_way_to_the_next_owner():
    """A booking ran at the old owner; its caller asks the new one again."""
    old, new = Ledger(BookingSettings()), Ledger(BookingSettings())
    old.adopt("s", 3, 7, 100.0)
    booking = BookingTry("s", 3, 7, "key-1", b"\x00digest", 110.0, 600.0)
    run = old.begin(booking, 110.0)
    answer = BookingAnswer(201, (("Content-Type", "text/plain"),), b"\xff booked")
    old.finish(run.token, BookingEnd.ANSWERED, answer, 111.0)
    parts = ArrivedParts()
    assert parts.take(encode_part(old.export("s", 3)))
    assert new.import_(parts.pop("s", 3), 9, 7, 112.0)
    again = new.begin(attrs.evolve(booking, grant=9), 113.0)
    assert again == Replay(answer)
    assert parts.pop("s", 3) is None


def test_bytes_that_are_no_part_are_refused():
    with pytest.raises(TamarackhavenError):
        decode_part(b"{}")
