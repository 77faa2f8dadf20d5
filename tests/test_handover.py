"""Tests of planned moves on the side of the former owner."""

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


class HandoverBench:
    """A handover whose steps are run one by one."""

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
    return HandoverBench()


def test_shard_is_released_after_its_last_request_ended_and_its_ledger_was_sent(bench):
    """A shard moves while a request for it runs.

    If it were released immediately, the next owner would serve the key while the former
    one still works on it; without the ledger, it couldn't know bookings made here.
    """
    bench.daemon.running = 1
    bench.handover.step()
    bench.handover.step()
    assert bench.events == ["stop"]
    bench.daemon.running = 0
    bench.handover.step()
    assert bench.events == ["stop", "ledger", "release"]


def test_no_shard_is_released_without_the_lease(bench):
    """A process that just joined has an epoch but not yet the lease.

    An earlier process with its name may still hold its own lease; a shard released now
    would have two owners.
    """
    bench.lease.held = False
    bench.handover.step()
    assert bench.events == ["stop"]


def test_move_cancelled_before_the_release_resumes_the_shard(bench):
    bench.daemon.running = 1
    bench.handover.step()
    bench.view.grants = [attrs.evolve(MOVING, moving_to="")]
    bench.handover.step()
    assert bench.events == ["stop", "resume"]


def test_release_with_unknown_outcome_never_resumes_the_shard(bench):
    """The answer to a release is lost, and the map still shows the shard as owned.

    Another target may already own it. Only a newer grant may resume it here.
    """
    bench.client.error = TamarackhavenError(ErrorKind.CHANGE_UNCONFIRMED)
    with pytest.raises(TamarackhavenError):
        bench.handover.step()
    bench.view.grants = [attrs.evolve(MOVING, moving_to="")]
    bench.handover.step()
    assert "resume" not in bench.events


def test_booking_is_replayed_by_the_next_owner_from_the_ledger_part():
    """A booking ran at the former owner, and its caller retries at the next one."""
    former_owner, next_owner = Ledger(BookingSettings()), Ledger(BookingSettings())
    former_owner.adopt("s", 3, 7, 100.0)
    booking = BookingTry("s", 3, 7, "key-1", b"\x00digest", 110.0, 600.0)
    run = former_owner.begin(booking, 110.0)
    answer = BookingAnswer(201, (("Content-Type", "text/plain"),), b"\xff booked")
    former_owner.finish(run.token, BookingEnd.ANSWERED, answer, 111.0)
    parts = ArrivedParts()
    assert parts.take(encode_part(former_owner.export("s", 3)))
    assert next_owner.import_(parts.pop("s", 3), 9, 7, 112.0)
    replay = next_owner.begin(attrs.evolve(booking, grant=9), 113.0)
    assert replay == Replay(answer)
    assert parts.pop("s", 3) is None


def test_bytes_that_are_not_a_ledger_part_are_rejected():
    with pytest.raises(TamarackhavenError):
        decode_part(b"{}")
