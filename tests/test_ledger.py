"""Tests of the ledger of bookings against a naive oracle, over chains of owners."""

import random

import attrs
import pytest

from tamarackhaven._ledger import (
    KEPT_ANSWER_BYTES,
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


class Chain:
    """One shard, its owners one after another, and a target that counts.

    The naive oracle is ``executions_by_key``: it remembers for ever and sees all.
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
        stamp = self.now + skew
        self.sent[-1] = attrs.evolve(self.sent[-1], first_sent_s=stamp)
        # Some first tries are lost on the way: the resend is what arrives.
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
        if self.random.random() < 0.8:  # the rest ends twice: a duplicated answer
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
        # Sometimes an old part arrives in its place, as a late duplicate.
        offered = self.random.choice([part, part, part, self.parts[0]])
        old, self.grant = self.grant, self.grant + 1
        self.ledger = Ledger(SETTINGS)
        taken = self.ledger.import_(offered, self.grant, old, self.now)
        assert taken == (offered.grant == old)

    def step(self):
        self.now += self.random.expovariate(2.0)
        actions = [self.first_send, self.resend, self.finish_one]
        rare = [self.lose_owner, self.planned_move]
        self.random.choices(actions + rare, [30, 40, 40, 1, 3])[0]()


@pytest.mark.parametrize("seed", range(12))
def test_no_booking_runs_twice_over_a_chain_of_owners(seed):
    """A caller resends its booking and must not get two berths.

    Owners are lost with their ledgers or hand them over, old parts, answers and
    requests arrive late or twice, and callers' clocks are off within the margin. The
    first-sent time shows what a lost owner could have run.
    """
    chain = Chain(seed)
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


def test_each_refusal_has_its_kind():
    ledger = owned_ledger()
    assert kind_of(ledger, 110.0, grant=2) is ErrorKind.NOT_OWNER
    assert kind_of(ledger, 110.0, first_sent_s=101.9) is OWNER_CHANGED
    assert kind_of(ledger, 110.0, first_sent_s=112.1) is ErrorKind.BAD_HEADER
    assert kind_of(ledger, 142.0) is ErrorKind.BOOKING_TOO_OLD


def test_states_of_one_booking():
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


def test_a_full_ledger_refuses_and_forgets_nothing_early():
    ledger = owned_ledger()
    for number in range(SETTINGS.ledger_entries):
        ledger.begin(attrs.evolve(TRY, idempotency_key=f"a-{number}"), 110.0)
    assert kind_of(ledger, 110.0) is ErrorKind.LEDGER_FULL
    assert kind_of(ledger, 140.0, idempotency_key="a-0") is not Run
    # At 142 the window and margin of all have passed, but they still run.
    late = {"idempotency_key": "b", "first_sent_s": 142.0}
    assert kind_of(ledger, 142.0, **late) is ErrorKind.LEDGER_FULL


def test_a_longer_window_revives_no_forgotten_booking():
    """Operators lengthen the window after a booking's entry has left.

    Its resend is young again by the new window. It ran once, so it must be refused.
    """
    ledger = owned_ledger()
    token = ledger.begin(TRY, 110.0).token
    ledger.finish(token, BookingEnd.ANSWERED, BookingAnswer(200), 111.0)
    later = {"idempotency_key": "k-2", "first_sent_s": 150.0}
    assert kind_of(ledger, 150.0, **later) is Run
    assert len(ledger) == 1
    assert kind_of(ledger, 150.0, window_s=900.0) is ErrorKind.BOOKING_TOO_OLD


def test_an_unpinned_key_brings_no_second_run():
    """A pin is removed, and its key's bookings come back to the ordinary shard.

    That shard's ledger is old and knows none of them; it must not run their resends.
    """
    ledger = owned_ledger()
    ledger.restart("berths", 7, 120.0)
    assert kind_of(ledger, 121.0) is OWNER_CHANGED
    fresh = {"idempotency_key": "k-2", "first_sent_s": 122.5}
    assert kind_of(ledger, 122.5, **fresh) is Run


def test_a_clock_that_steps_back_moves_no_ledger_start():
    ledger = Ledger(SETTINGS)
    ledger.adopt("berths", 6, 1, 200.0)
    ledger.adopt("berths", 7, 1, 100.0)
    assert kind_of(ledger, 100.0, first_sent_s=199.0) is OWNER_CHANGED


def test_an_answer_too_large_keeps_its_status_and_says_so():
    ledger = owned_ledger()
    token = ledger.begin(TRY, 110.0).token
    large = BookingAnswer(201, (), b"x" * (KEPT_ANSWER_BYTES + 1))
    ledger.finish(token, BookingEnd.ANSWERED, large, 111.0)
    replay = ledger.begin(TRY, 112.0)
    assert replay.answer == BookingAnswer(201, (), b"", whole=False)


def test_sheds_that_repeat_leave_no_growing_memory():
    ledger = owned_ledger()
    for _ in range(2000):
        token = ledger.begin(TRY, 110.0).token
        ledger.finish(token, BookingEnd.DID_NOT_RUN, None, 110.0)
    assert len(ledger) == 0
    assert len(ledger._leaving) < 200
