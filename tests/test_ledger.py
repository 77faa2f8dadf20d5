"""Tests of the ledger of bookings, also against a naive oracle over owner changes."""

import random

import attrs
import pytest

from tamarackhaven._ledger import (
    MAX_STORED_ANSWER_BYTES,
    BookingAnswer,
    BookingEnd,
    BookingRefused,
    BookingTry,
    Ledger,
    Replay,
    Run,
)
from tamarackhaven._settings import BookingSettings
from tamarackhaven.errors import ErrorKind

MARGIN_S = 2.0
WINDOW_S = 30.0
OWNER_CHANGED = ErrorKind.BOOKING_OWNER_CHANGED
SETTINGS = BookingSettings(ledger_entries=64, caller_clock_margin_s=MARGIN_S)
TRY = BookingTry("berths", 7, 1, "k-1", b"digest", 110.0, WINDOW_S)


class OwnerChain:
    """One shard, its successive owners, and a target that counts executions.

    The naive oracle is ``executions_by_key``: it records every execution and is never
    trimmed.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 1000.0
        self.grant = 1
        self.executions_by_key = {}
        self.answer_by_key = {}
        self.sent = []
        self.open_runs = []
        self.replayed = 0
        self.parts = []
        self.ledger = self._new_ledger(500.0)

    def _new_ledger(self, start):
        ledger = Ledger(SETTINGS)
        ledger.adopt("berths", 7, self.grant, start)
        return ledger

    def first_send(self):
        skew = self.random.uniform(-MARGIN_S, MARGIN_S)
        key = f"k-{len(self.sent)}"
        self.sent.append(attrs.evolve(TRY, idempotency_key=key, first_sent_s=0.0))
        first_sent_s = self.now + skew
        self.sent[-1] = attrs.evolve(self.sent[-1], first_sent_s=first_sent_s)
        # Some first attempts are lost in transit, and only a resend arrives.
        if self.random.random() < 0.8:
            self.arrive(self.sent[-1])

    def resend(self):
        if self.sent:
            self.arrive(self.random.choice(self.sent[-40:]))

    def arrive(self, booking):
        booking = attrs.evolve(booking, grant=self.grant)
        decision = self.ledger.begin(booking, self.now)
        key = booking.idempotency_key
        if isinstance(decision, Run):
            self.open_runs.append((self.ledger, decision.token))
            if self.random.random() < 0.8:
                self.executions_by_key[key] = self.executions_by_key.get(key, 0) + 1
                self.answer_by_key[key] = BookingAnswer(200, (), key.encode())
        elif isinstance(decision, Replay):
            assert decision.answer == self.answer_by_key[key]
            self.replayed += 1

    def finish_one(self):
        if not self.open_runs:
            return
        index = self.random.randrange(len(self.open_runs))
        ledger, token = self.open_runs[index]
        if (
            self.random.random() < 0.8
        ):  # the others end twice, as with a duplicated answer
            del self.open_runs[index]
        answer = self.answer_by_key.get(token.idempotency_key)
        if answer is None:
            ledger.finish(token, BookingEnd.DID_NOT_RUN, None, self.now)
        elif self.random.random() < 0.8:
            ledger.finish(token, BookingEnd.ANSWERED, answer, self.now)
        else:
            ledger.finish(token, BookingEnd.UNKNOWN, None, self.now)

    def lose_owner(self):
        self.grant += 1
        self.ledger = self._new_ledger(self.now)

    def planned_move(self):
        part = self.ledger.export("berths", 7)
        self.parts.append(part)
        # Sometimes an old part arrives instead, as a late duplicate.
        offered_part = self.random.choice([part, part, part, self.parts[0]])
        old_grant, self.grant = self.grant, self.grant + 1
        self.ledger = Ledger(SETTINGS)
        taken = self.ledger.import_(offered_part, self.grant, old_grant, self.now)
        assert taken == (offered_part.grant == old_grant)

    def step(self):
        self.now += self.random.expovariate(2.0)
        actions = [self.first_send, self.resend, self.finish_one]
        rare = [self.lose_owner, self.planned_move]
        self.random.choices(actions + rare, [30, 40, 40, 1, 3])[0]()


@pytest.mark.parametrize("seed", range(12))
def test_no_booking_runs_twice_across_owner_changes(seed):
    """A booking that its caller resends must not run twice.

    Owners are lost with their ledgers or hand them over, old parts, answers and
    requests arrive late or twice, and callers' clocks are off within the margin. The
    first-sent time shows whether a lost owner could have run a booking.
    """
    chain = OwnerChain(seed)
    for _ in range(1500):
        chain.step()
        assert max(chain.executions_by_key.values(), default=0) <= 1
        assert len(chain.ledger) <= SETTINGS.ledger_entries
    assert len(chain.executions_by_key) > 50
    assert chain.replayed > 20


def owned_ledger():
    ledger = Ledger(SETTINGS)
    ledger.adopt("berths", 7, 1, 100.0)
    return ledger


def kind_of(ledger, now, **changes):
    decision = ledger.begin(attrs.evolve(TRY, **changes), now)
    return decision.kind if isinstance(decision, BookingRefused) else type(decision)


def test_begin_refuses_with_the_kind_of_each_cause():
    ledger = owned_ledger()
    assert kind_of(ledger, 110.0, grant=2) is ErrorKind.NOT_OWNER
    assert kind_of(ledger, 110.0, first_sent_s=101.9) is OWNER_CHANGED
    assert kind_of(ledger, 110.0, first_sent_s=112.1) is ErrorKind.BAD_HEADER
    assert kind_of(ledger, 142.0) is ErrorKind.BOOKING_TOO_OLD


def test_booking_outcomes_decide_about_its_resends():
    ledger = owned_ledger()
    first = ledger.begin(TRY, 110.0)
    assert kind_of(ledger, 110.0) is ErrorKind.BOOKING_IN_PROGRESS
    assert kind_of(ledger, 110.0, digest=b"x") is ErrorKind.BOOKING_MISMATCH
    ledger.finish(first.token, BookingEnd.DID_NOT_RUN, None, 111.0)
    second = ledger.begin(TRY, 111.0)
    ledger.finish(first.token, BookingEnd.ANSWERED, BookingAnswer(200), 111.0)
    assert kind_of(ledger, 111.0) is ErrorKind.BOOKING_IN_PROGRESS
    ledger.finish(second.token, BookingEnd.UNKNOWN, None, 112.0)
    assert kind_of(ledger, 120.0) is ErrorKind.BOOKING_UNKNOWN


def test_full_ledger_refuses_new_bookings_and_keeps_entries():
    ledger = owned_ledger()
    for number in range(SETTINGS.ledger_entries):
        ledger.begin(attrs.evolve(TRY, idempotency_key=f"a-{number}"), 110.0)
    assert kind_of(ledger, 110.0) is ErrorKind.LEDGER_FULL
    assert kind_of(ledger, 140.0, idempotency_key="a-0") is not Run
    # At 142 s the window and margin of all entries have passed, but they still run.
    late = {"idempotency_key": "b", "first_sent_s": 142.0}
    assert kind_of(ledger, 142.0, **late) is ErrorKind.LEDGER_FULL


def test_longer_window_does_not_rerun_an_expired_booking():
    """Operators lengthen the window after a booking's entry has expired.

    Its resend is within the new window. It ran once, so it must be refused.
    """
    ledger = owned_ledger()
    token = ledger.begin(TRY, 110.0).token
    ledger.finish(token, BookingEnd.ANSWERED, BookingAnswer(200), 111.0)
    later = {"idempotency_key": "k-2", "first_sent_s": 150.0}
    assert kind_of(ledger, 150.0, **later) is Run
    assert len(ledger) == 1
    assert kind_of(ledger, 150.0, window_s=900.0) is ErrorKind.BOOKING_TOO_OLD


def test_removed_pin_does_not_rerun_a_booking():
    """When a pin is removed, the bookings of its key return to the ordinary shard.

    That shard's ledger is old and has no entry for them; it must not run resends.
    """
    ledger = owned_ledger()
    ledger.restart("berths", 7, 120.0)
    assert kind_of(ledger, 121.0) is OWNER_CHANGED
    fresh = {"idempotency_key": "k-2", "first_sent_s": 122.5}
    assert kind_of(ledger, 122.5, **fresh) is Run


def test_clock_step_back_does_not_move_the_ledger_start():
    ledger = Ledger(SETTINGS)
    ledger.adopt("berths", 6, 1, 200.0)
    ledger.adopt("berths", 7, 1, 100.0)
    assert kind_of(ledger, 100.0, first_sent_s=199.0) is OWNER_CHANGED


def test_oversized_answer_is_replayed_with_status_only():
    ledger = owned_ledger()
    token = ledger.begin(TRY, 110.0).token
    large = BookingAnswer(201, (), b"x" * (MAX_STORED_ANSWER_BYTES + 1))
    ledger.finish(token, BookingEnd.ANSWERED, large, 111.0)
    replay = ledger.begin(TRY, 112.0)
    assert replay.answer == BookingAnswer(201, (), b"", whole=False)


def test_repeated_sheds_do_not_grow_the_expiry_heap():
    ledger = owned_ledger()
    for _ in range(2000):
        token = ledger.begin(TRY, 110.0).token
        ledger.finish(token, BookingEnd.DID_NOT_RUN, None, 110.0)
    assert len(ledger) == 0
    assert len(ledger._expiry_heap) < 200
