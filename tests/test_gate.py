"""Tests of the gate of a target: golden sessions, invariants, outcomes."""

import random

import pytest
from golden import check
from hypothesis import given, settings, strategies as st

from tamarackhaven._gate import Gate
from tamarackhaven._gate_messages import (
    Admit,
    End,
    Finish,
    Offer,
    Refuse,
    TargetReport,
    Wait,
)
from tamarackhaven._settings import GateSettings
from tamarackhaven.errors import ErrorKind

SLOTS = 4
WORK_S = 0.05
SETTINGS = GateSettings(queue_requests=8, queue_ms=500, cold_s=3.0)


class Session:
    """Drives a gate, with a target of constant work, and writes down what happens."""

    def __init__(self, warm=True, gate_settings=SETTINGS):
        self.gate = Gate(gate_settings, SLOTS, 0.0, random.Random(7))
        if warm:
            self.gate.open(0.0, cold=False)
        self.now = 0.0
        self.ends = []  # (time, id)
        self.lines = []
        self.final_by_id = {}

    def offer(self, name, key=1, caller="c", deadline_s=2.0):
        offer = Offer(name, key, caller, self.now + deadline_s)
        decision = self.gate.offer(offer, self.now)
        self._note(decision)
        return decision

    def _note(self, decision):
        name = decision.request_id
        if isinstance(decision, Wait):
            self.lines.append(f"{self.now:6.3f} {name} waits")
            return
        assert name not in self.final_by_id
        self.final_by_id[name] = decision
        if isinstance(decision, Refuse):
            kind, after = decision.kind.name, decision.retry_after_s
            self.lines.append(f"{self.now:6.3f} {name} {kind}, again in {after:.2f} s")
        else:
            self.ends.append((self.now + WORK_S, name))
            place = f"{self.gate.running} of {self.gate.limit}"
            self.lines.append(f"{self.now:6.3f} {name} starts")
            assert self.gate.running <= self.gate.limit, place

    def note_all(self, decisions):
        for decision in decisions:
            self._note(decision)

    def finish(self, name, end=End.ANSWERED, latency_s=WORK_S):
        self.note_all(self.gate.finish(Finish(name, end, latency_s), self.now))

    def run_until(self, until_s):
        while self.ends and min(self.ends)[0] <= until_s:
            self.now, name = min(self.ends)
            self.ends.remove((self.now, name))
            self.finish(name)
        self.now = until_s
        self.note_all(self.gate.tick(until_s))

    def say(self, text):
        self.lines.append(f"{self.now:6.3f} -- {text}")

    def text(self):
        counts = {
            k.name: n for k, n in sorted(self.gate.refused_by_kind.items(), key=str)
        }
        return "\n".join([*self.lines, f"refused: {counts}", ""])


def report(**changes):
    values = {"age_s": 0.2, "running": 0, "slots": SLOTS, "uptime_s": 50.0}
    return TargetReport(**{**values, "incarnation": "a", "served": 100, **changes})


def test_golden_burst():
    session = Session()
    for number in range(6):
        session.offer(f"hot-{number}", key=1)
    session.offer("cold-key", key=2, caller="d")
    session.run_until(0.5)
    check("gate_burst", session.text())


def test_golden_saturation():
    session = Session()
    for number in range(40):
        session.offer(
            f"r-{number}", key=number, caller=f"c{number % 5}", deadline_s=0.3
        )
        session.run_until(session.now + 0.004)
    session.run_until(1.0)
    check("gate_saturation", session.text())


def test_golden_cold_return():
    session = Session()
    session.gate.report(report(), 0.0)
    session.now = 1.0
    session.gate.report(report(incarnation="b", uptime_s=0.1, served=0), 1.0)
    for step in range(60):
        session.now = 1.0 + step * 0.06
        session.run_until(session.now)
        for place in range(3):
            session.offer(f"s{step}-{place}", key=place, caller=f"c{place}")
        if step % 10 == 0:
            session.say(f"limit {session.gate.limit}, cold {session.gate.cold}")
    lines = [line for line in session.text().splitlines() if "--" in line]
    check("gate_cold_return", "\n".join([*lines, ""]))


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ["offer", "offer", "offer", "end", "tick", "hang-up", "report"]
        ),
        st.integers(0, 5),
        st.sampled_from(list(End)),
        st.floats(0.0, 0.2),
    ),
    max_size=120,
)


@settings(
    derandomize=True, deadline=None, print_blob=False, database=None, max_examples=150
)
@given(ACTIONS, st.booleans(), st.integers(1, 6))
def test_invariants(actions, warm, connections):
    """Every request gets one final decision and no limit is ever passed.

    ``Session._note`` fails on a second decision, and on a start above the limit,
    which is the least of learned limit, cold ceiling and connections.
    """
    bounds = GateSettings(queue_requests=4, cold_s=1.0, max_connections=connections)
    session = Session(warm, bounds)
    gate, offered, gone = session.gate, set(), set()
    for number, (action, value, end, step_s) in enumerate(actions):
        session.now += step_s
        started = [n for n, d in session.final_by_id.items() if isinstance(d, Admit)]
        open_names = [n for n in started if n not in gone]
        if action == "offer":
            free = gate.waiting == 0 and gate.taken < gate.limit
            decision = session.offer(f"r{number}", value, f"c{value % 2}", 0.3)
            offered.add(f"r{number}")
            assert not (free and gate.taken < gate.limit) or isinstance(decision, Admit)
        elif action == "end" and open_names:
            name = open_names[value % len(open_names)]
            gone.add(name)
            session.finish(name, end, step_s)
        elif action == "tick":
            session.note_all(gate.tick(session.now))
        elif action == "hang-up":
            waiting = sorted(offered - set(session.final_by_id))
            if waiting:
                offered.discard(waiting[0])
                session.note_all(gate.withdraw(waiting[0], session.now))
        elif action == "report":
            gate.report(report(served=value, uptime_s=value), session.now)
        assert gate.limit <= connections
        assert gate.waiting == len(offered - set(session.final_by_id))
        assert gate.waiting <= bounds.queue_requests
    session.note_all(gate.stop(ErrorKind.DRAINING))
    assert set(session.final_by_id) == offered


def test_a_hot_key_starves_nobody():
    """One key is asked for ten times as often as all others together.

    Its requests fill their part of the queue and are refused with KEY_SHARE. The
    others find a place and start after at most one more of the hot key's requests.
    """
    session = Session()
    for step in range(200):
        session.run_until(step * 0.01)
        for place in range(10):
            session.offer(f"hot-{step}-{place}", key=1, caller=f"c{place}")
        if step % 2 == 0:
            session.offer(f"other-{step}", key=100 + step, caller=f"d{step}")
    session.run_until(4.0)
    others = [d for n, d in session.final_by_id.items() if n.startswith("other")]
    assert len(others) == 100
    assert all(isinstance(decision, Admit) for decision in others)
    assert session.gate.refused_by_kind[ErrorKind.KEY_SHARE] > 1000


@pytest.mark.parametrize(
    "sign",
    [
        lambda s: s.gate.report(report(incarnation="b"), s.now),
        lambda s: s.gate.report(report(served=3), s.now),
        lambda s: s.gate.report(report(uptime_s=1.0), s.now),
        lambda s: fail_three(s, End.SHED),
        lambda s: fail_three(s, End.UNREACHABLE),
        lambda s: fail_three(s, End.FAILED),
    ],
    ids=["incarnation", "served", "uptime", "sheds", "unreachable", "failed"],
)
def test_each_sign_turns_the_target_cold(sign):
    session = Session()
    session.gate.report(report(), 0.0)
    session.now = 0.5
    sign(session)
    assert session.gate.cold
    assert session.gate.limit == SETTINGS.cold_requests


def fail_three(session, end):
    for number in range(3):
        session.offer(f"f{number}")
        session.finish(f"f{number}", end, 0.001)


def answers(session, count, latency_s, every=1):
    """Let ``count`` requests be answered, each ``every``-th in ``latency_s``."""
    for number in range(count):
        session.now += 0.1
        name = f"{session.now:.1f}"
        session.offer(name)
        slow = number % every == 0
        session.finish(name, latency_s=latency_s if slow else WORK_S)


@pytest.mark.parametrize(
    ("every", "quick_again", "cold"),
    [(1, 0, True), (2, 0, False), (1, 32, False)],
    ids=["straggler", "mixed work", "straggler gone"],
)
def test_a_latency_jump_is_no_restart_until_a_failure_says_so(every, quick_again, cold):
    """A target answers ten times slower from one moment to the next.

    It may straggle or have started again. Cut for the jump alone, a straggler would
    refuse what it can bear; so the jump only makes the next shed or cut connection
    enough, and half of the work being long, or the jump being over, does not.
    """
    session = Session()
    answers(session, 32, WORK_S)
    answers(session, 32, 10 * WORK_S, every)
    answers(session, quick_again, WORK_S)
    assert (session.gate.cold, session.gate.limit) == (False, SLOTS)
    session.offer("cut")
    session.finish("cut", End.FAILED, 0.001)
    assert session.gate.cold == cold


@pytest.mark.parametrize(("helped", "limits"), [(True, [3, 3]), (False, [3, 4])])
def test_a_smaller_limit_stays_only_if_the_target_is_quicker_for_it(helped, limits):
    """A target is 2.5 times slower: overrun, or slow by itself.

    The gate cannot see which and tries a smaller limit. Overrun, the target is
    quicker for it; slow by itself it is not, and gets its places back.
    """
    session = Session()
    answers(session, 16, WORK_S)
    answers(session, 16, 2.5 * WORK_S)
    seen = [session.gate.limit]
    answers(session, 32, (2.1 if helped else 2.5) * WORK_S)
    assert [*seen, session.gate.limit] == limits


def test_a_burst_after_a_quiet_time_waits():
    """Nothing is asked for an hour, then more than the target runs at once.

    Silence with nothing running is no stall: taken for one, it had every request that
    could not start at once refused, at a target that was free a moment before.
    """
    session = Session()
    session.offer("first")
    session.run_until(0.1)
    session.now = 3600.0
    decisions = [session.offer(f"r{n}", n, f"c{n}", 1.0) for n in range(8)]
    assert [type(decision) for decision in decisions] == [Admit] * 4 + [Wait] * 4


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["offer", "offer", "offer", "end", "shed", "silence"]),
        st.floats(0.0, 0.1),
        st.floats(0.05, 2.0),
    ),
    max_size=100,
)


@settings(
    derandomize=True, deadline=None, print_blob=False, database=None, max_examples=150
)
@given(STEPS)
def test_no_refusal_comes_later_than_the_gate_can_know(steps):
    """Who can't start in time any more is told at that moment, not at the deadline.

    A naive version keeps the mean holding time and the time of the last sign of life,
    and asks after each step, for all that wait in their order, whether their places
    at that pace, and a silence as long again as so far, still let them start. A tick
    that was due is not due again at once.
    """
    session = Session(gate_settings=GateSettings(queue_requests=16, queue_ms=2000))
    gate, hold_s, alive_s = session.gate, 0.0, 0.0
    for number, (action, step_s, value) in enumerate(steps):
        due = gate.next_tick(session.now)
        session.now += step_s if action != "silence" else value / 4
        if due <= session.now:
            session.now = due
            session.note_all(gate.tick(due))
        started = [e[1] for e in session.ends]
        if action == "offer":
            alive_s = alive_s if gate.running else session.now
            session.offer(f"r{number}", number, f"c{number}", value)
        elif action in ("end", "shed") and started:
            name = started[0]
            session.ends = [e for e in session.ends if e[1] != name]
            latency_s = value / 10
            if action == "end":
                hold_s = hold_s + 0.1 * (latency_s - hold_s) if hold_s else latency_s
                alive_s = session.now
            end = End.ANSWERED if action == "end" else End.SHED
            session.finish(name, end, latency_s)
        if gate.next_tick(session.now) <= session.now:
            session.note_all(gate.tick(session.now))
            assert gate.next_tick(session.now) > session.now
        silent_s = max(0.0, session.now - alive_s - 4 * hold_s) if hold_s else 0.0
        for place, entry in enumerate(gate._queue.entries):
            wait_s = place * hold_s / gate.limit + silent_s
            assert session.now + wait_s <= entry.start_by_s + 1e-6
            assert entry.start_by_s <= entry.offer.deadline_s


def test_an_old_report_changes_nothing():
    """A report overtaken on the way carries older counters than the last one."""
    session = Session()
    session.gate.report(report(age_s=0.1), 1.0)
    session.gate.report(report(age_s=0.9, served=50, uptime_s=49.0, slots=1), 1.1)
    assert not session.gate.cold
    session.gate.report(report(age_s=60.0, slots=1, uptime_s=51.0), 1.2)
    assert session.gate.limit == SLOTS


def test_given_up_work_keeps_its_place_until_a_report_frees_it():
    """Callers with short deadlines leave a stuck target, and others press in.

    The target may still run what was given up, so its places stay taken for a while:
    it never gets more than its limit.
    """
    session = Session()
    for number in range(4):
        session.offer(f"r{number}")
    session.now = 0.3
    for number in range(4):
        session.finish(f"r{number}", End.GIVEN_UP, 0.3)
    assert isinstance(session.offer("next"), Wait)
    session.now = 0.5
    session.gate.report(report(age_s=0.1, running=0), 0.5)
    session.note_all(session.gate.tick(0.5))
    assert isinstance(session.final_by_id["next"], Admit)


@pytest.mark.parametrize(("refused", "per_tenth"), [(70, 20), (300, 75)])
def test_come_back_times_are_spread_over_the_emptying_time(refused, per_tenth):
    """Many are refused in one instant and must not be back in one instant.

    The target empties 8 requests in a tenth of a second. Up to a second ahead the
    callers come back at about that pace; those beyond are spread over half a second.
    """
    session = Session()
    session.offer("first")
    session.run_until(0.1)
    for number in range(12 + refused):
        session.offer(f"r{number}", key=number, caller=f"c{number}")
    decisions = session.final_by_id.values()
    times = [d.retry_after_s for d in decisions if isinstance(d, Refuse)]
    assert len(times) == refused
    assert max(sum(t // 0.1 == n for t in times) for n in range(30)) <= per_tenth
    assert max(times) > 0.7
    assert min(times) > 0.0


def test_a_request_that_cannot_start_in_time_is_refused_at_once():
    session = Session()
    session.offer("first")
    session.run_until(0.1)
    for number in range(8):
        session.offer(f"r{number}", key=number, caller=f"c{number}")
    decision = session.offer("late", key=9, caller="x", deadline_s=0.01)
    assert decision.kind is ErrorKind.QUEUE_TIMEOUT
    assert decision.retry_after_s > 0


def test_a_stop_refuses_the_queue_and_cuts_off_nothing():
    session = Session()
    for number in range(6):
        session.offer(f"r{number}", key=number, caller=f"c{number}")
    refused = session.gate.stop(ErrorKind.LEASE_LOST)
    assert [d.kind for d in refused] == [ErrorKind.LEASE_LOST] * 2
    assert session.gate.running == 4
    assert session.offer("new").kind is ErrorKind.LEASE_LOST
    session.gate.open(1.0, cold=True)
    assert session.gate.limit == SETTINGS.cold_requests


@pytest.mark.parametrize(
    ("answers", "apart_s", "raised"),
    [(5, 10.0, False), (50, 0.0, False), (50, 0.1, True)],
)
def test_only_work_and_time_together_raise_the_cold_ceiling(answers, apart_s, raised):
    """An idle hour warms no target, and neither do short requests in one instant."""
    session = Session(warm=False)
    for number in range(answers):
        session.now = number * apart_s
        session.offer(f"r{number}")
        session.finish(f"r{number}", latency_s=0.001)
    assert (session.gate.limit > SETTINGS.cold_requests) == raised


def test_a_due_tick_is_not_due_again():
    """A target is silent and its queue runs out of time, at a thousand odd times.

    Each tick that the gate asks for must refuse someone or move on. When rounding kept
    a request that was due, the tick was due again at once, and its thread spun.
    """
    rng = random.Random(3)
    for _ in range(1000):
        session = Session()
        session.now = rng.uniform(0.0, 1e6)
        session.offer("first")
        session.finish("first", latency_s=rng.uniform(0.01, 0.2))
        for number in range(12):
            session.offer(f"r{number}", number, f"c{number}", rng.uniform(0.1, 2.0))
        ticks = 0
        while session.gate.waiting:
            session.now = session.gate.next_tick(session.now)
            session.note_all(session.gate.tick(session.now))
            ticks += 1
            assert ticks <= 12
