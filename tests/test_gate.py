"""Tests of a target's gate: golden sessions, invariants and outcomes."""

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
LATENCY_S = 0.05
SETTINGS = GateSettings(queue_requests=8, queue_ms=500, cold_s=3.0)


class Session:
    """Drives a gate, with a target of constant latency, and records all decisions."""

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
        self._record(decision)
        return decision

    def _record(self, decision):
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
            self.ends.append((self.now + LATENCY_S, name))
            place = f"{self.gate.running} of {self.gate.limit}"
            self.lines.append(f"{self.now:6.3f} {name} starts")
            assert self.gate.running <= self.gate.limit, place

    def record_all(self, decisions):
        for decision in decisions:
            self._record(decision)

    def finish(self, name, end=End.ANSWERED, latency_s=LATENCY_S):
        self.record_all(self.gate.finish(Finish(name, end, latency_s), self.now))

    def run_until(self, until_s):
        while self.ends and min(self.ends)[0] <= until_s:
            self.now, name = min(self.ends)
            self.ends.remove((self.now, name))
            self.finish(name)
        self.now = until_s
        self.record_all(self.gate.tick(until_s))

    def write(self, text):
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
            session.write(f"limit {session.gate.limit}, cold {session.gate.cold}")
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
    """Every request gets one final decision and no limit is ever exceeded.

    ``Session._record`` fails on a second decision, and on a start above the limit,
    which is the minimum of learned limit, cold ceiling and connections.
    """
    bounds = GateSettings(queue_requests=4, cold_s=1.0, max_connections=connections)
    session = Session(warm, bounds)
    gate, offered, ended_names = session.gate, set(), set()
    for number, (action, value, end, step_s) in enumerate(actions):
        session.now += step_s
        started = [n for n, d in session.final_by_id.items() if isinstance(d, Admit)]
        open_names = [n for n in started if n not in ended_names]
        if action == "offer":
            free = gate.waiting == 0 and gate.taken < gate.limit
            decision = session.offer(f"r{number}", value, f"c{value % 2}", 0.3)
            offered.add(f"r{number}")
            assert not (free and gate.taken < gate.limit) or isinstance(decision, Admit)
        elif action == "end" and open_names:
            name = open_names[value % len(open_names)]
            ended_names.add(name)
            session.finish(name, end, step_s)
        elif action == "tick":
            session.record_all(gate.tick(session.now))
        elif action == "hang-up":
            waiting = sorted(offered - set(session.final_by_id))
            if waiting:
                offered.discard(waiting[0])
                session.record_all(gate.withdraw(waiting[0], session.now))
        elif action == "report":
            gate.report(report(served=value, uptime_s=value), session.now)
        assert gate.limit <= connections
        assert gate.waiting == len(offered - set(session.final_by_id))
        assert gate.waiting <= bounds.queue_requests
    session.record_all(gate.stop(ErrorKind.DRAINING))
    assert set(session.final_by_id) == offered


def test_hot_key_does_not_starve_other_keys():
    """One key is requested ten times as often as all others together.

    Its requests fill their share of the queue and are then refused with KEY_SHARE. The
    others are queued and start after at most one more of the hot key's requests.
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
    "show_restart",
    [
        lambda s: s.gate.report(report(incarnation="b"), s.now),
        lambda s: s.gate.report(report(served=3), s.now),
        lambda s: s.gate.report(report(uptime_s=1.0), s.now),
        lambda s: fail_three_requests(s, End.SHED),
        lambda s: fail_three_requests(s, End.UNREACHABLE),
        lambda s: fail_three_requests(s, End.FAILED),
    ],
    ids=["incarnation", "served", "uptime", "sheds", "unreachable", "failed"],
)
def test_each_restart_sign_makes_the_target_cold(show_restart):
    session = Session()
    session.gate.report(report(), 0.0)
    session.now = 0.5
    show_restart(session)
    assert session.gate.cold
    assert session.gate.limit == SETTINGS.cold_requests


def fail_three_requests(session, end):
    for number in range(3):
        session.offer(f"f{number}")
        session.finish(f"f{number}", end, 0.001)


def answer_requests(session, count, latency_s, every=1):
    """Answer ``count`` requests, every ``every``-th of them in ``latency_s``."""
    for number in range(count):
        session.now += 0.1
        name = f"{session.now:.1f}"
        session.offer(name)
        slow = number % every == 0
        session.finish(name, latency_s=latency_s if slow else LATENCY_S)


@pytest.mark.parametrize(
    ("every", "fast_count", "cold"),
    [(1, 0, True), (2, 0, False), (1, 32, False)],
    ids=["slow", "mixed latencies", "fast again"],
)
def test_latency_jump_counts_as_a_restart_only_with_a_failure(every, fast_count, cold):
    """The latency of a target rises suddenly to ten times its value.

    The target may be slow for a moment or have restarted. Limited for the jump alone,
    it would refuse requests that it can handle. So the jump only makes the next shed or
    cut connection count as a restart. It doesn't if only half of the requests are slow
    or the latency has fallen back.
    """
    session = Session()
    answer_requests(session, 32, LATENCY_S)
    answer_requests(session, 32, 10 * LATENCY_S, every)
    answer_requests(session, fast_count, LATENCY_S)
    assert (session.gate.cold, session.gate.limit) == (False, SLOTS)
    session.offer("cut")
    session.finish("cut", End.FAILED, 0.001)
    assert session.gate.cold == cold


@pytest.mark.parametrize(("is_overloaded", "limits"), [(True, [3, 3]), (False, [3, 4])])
def test_smaller_limit_stays_only_if_it_lowers_the_latency(is_overloaded, limits):
    """A target is 2.5 times slower, either overloaded or for another reason.

    The gate can't tell which and tries a smaller limit. It lowers the latency of an
    overloaded target; otherwise the latency stays and the limit is restored.
    """
    session = Session()
    answer_requests(session, 16, LATENCY_S)
    answer_requests(session, 16, 2.5 * LATENCY_S)
    limits_seen = [session.gate.limit]
    answer_requests(session, 32, (2.1 if is_overloaded else 2.5) * LATENCY_S)
    assert [*limits_seen, session.gate.limit] == limits


def test_burst_after_idle_time_is_queued():
    """After an idle hour, more requests arrive than the target runs at once.

    Silence with nothing running isn't a stall. Counted as one, it caused every request
    that couldn't start at once to be refused, at a target that had been idle.
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
def test_request_is_refused_as_soon_as_it_cannot_start_in_time(steps):
    """A request that can no longer start in time is refused then, not at its deadline.

    A naive model keeps the mean holding time and the time of the last progress: an
    answer, or a request at an idle target. After each step it checks, for all queued
    requests in their order, that they can still start in time at that pace, with a
    silence that lasts as long again as so far. A tick that was due must not be due
    again at once.
    """
    session = Session(gate_settings=GateSettings(queue_requests=16, queue_ms=2000))
    gate, hold_s, last_progress_s = session.gate, 0.0, 0.0
    for number, (action, step_s, value) in enumerate(steps):
        due = gate.next_tick(session.now)
        session.now += step_s if action != "silence" else value / 4
        if due <= session.now:
            session.now = due
            session.record_all(gate.tick(due))
        started = [e[1] for e in session.ends]
        if action == "offer":
            last_progress_s = last_progress_s if gate.running else session.now
            session.offer(f"r{number}", number, f"c{number}", value)
        elif action in ("end", "shed") and started:
            name = started[0]
            session.ends = [e for e in session.ends if e[1] != name]
            latency_s = value / 10
            if action == "end":
                hold_s = hold_s + 0.1 * (latency_s - hold_s) if hold_s else latency_s
                last_progress_s = session.now
            end = End.ANSWERED if action == "end" else End.SHED
            session.finish(name, end, latency_s)
        if gate.next_tick(session.now) <= session.now:
            session.record_all(gate.tick(session.now))
            assert gate.next_tick(session.now) > session.now
        silent_s = (
            max(0.0, session.now - last_progress_s - 4 * hold_s) if hold_s else 0.0
        )
        for place, entry in enumerate(gate._queue.entries):
            wait_s = place * hold_s / gate.limit + silent_s
            assert session.now + wait_s <= entry.start_by_s + 1e-6
            assert entry.start_by_s <= entry.offer.deadline_s


def test_outdated_report_is_ignored():
    """A report that was reordered in transit has older counters than the last one."""
    session = Session()
    session.gate.report(report(age_s=0.1), 1.0)
    session.gate.report(report(age_s=0.9, served=50, uptime_s=49.0, slots=1), 1.1)
    assert not session.gate.cold
    session.gate.report(report(age_s=60.0, slots=1, uptime_s=51.0), 1.2)
    assert session.gate.limit == SLOTS


def test_abandoned_request_keeps_its_slot_until_a_report_frees_it():
    """Callers with short deadlines abandon requests at a stalled target; others follow.

    The target may still run the abandoned requests, so their slots stay reserved for
    some time: it never gets more requests than its limit.
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
    session.record_all(session.gate.tick(0.5))
    assert isinstance(session.final_by_id["next"], Admit)


@pytest.mark.parametrize(("refused", "max_per_100_ms"), [(70, 20), (300, 75)])
def test_retry_delays_are_spread_over_the_time_to_clear_the_queue(
    refused, max_per_100_ms
):
    """Callers that are refused at the same moment must not retry at the same moment.

    The target serves 8 requests in a tenth of a second. Within a second the callers
    retry at about that pace; later retries are spread over half a second.
    """
    session = Session()
    session.offer("first")
    session.run_until(0.1)
    for number in range(12 + refused):
        session.offer(f"r{number}", key=number, caller=f"c{number}")
    decisions = session.final_by_id.values()
    times = [d.retry_after_s for d in decisions if isinstance(d, Refuse)]
    assert len(times) == refused
    assert max(sum(t // 0.1 == n for t in times) for n in range(30)) <= max_per_100_ms
    assert max(times) > 0.7
    assert min(times) > 0.0


def test_request_that_cannot_start_in_time_is_refused_on_arrival():
    session = Session()
    session.offer("first")
    session.run_until(0.1)
    for number in range(8):
        session.offer(f"r{number}", key=number, caller=f"c{number}")
    decision = session.offer("late", key=9, caller="x", deadline_s=0.01)
    assert decision.kind is ErrorKind.QUEUE_TIMEOUT
    assert decision.retry_after_s > 0


def test_stop_refuses_the_queue_and_keeps_running_requests():
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
    ("answers", "interval_s", "raised"),
    [(5, 10.0, False), (50, 0.0, False), (50, 0.1, True)],
)
def test_cold_ceiling_rises_only_after_both_work_and_time(answers, interval_s, raised):
    """An idle hour doesn't warm a target, nor do many short requests at one moment."""
    session = Session(warm=False)
    for number in range(answers):
        session.now = number * interval_s
        session.offer(f"r{number}")
        session.finish(f"r{number}", latency_s=0.001)
    assert (session.gate.limit > SETTINGS.cold_requests) == raised


def test_handled_tick_is_not_due_again_at_once():
    """The requests queued at a silent target expire, at a thousand random clock times.

    Each tick that the gate asks for must refuse a request or have a later next tick.
    When rounding kept a request that was due, the tick was due again at once and its
    thread spun.
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
            session.record_all(session.gate.tick(session.now))
            ticks += 1
            assert ticks <= 12
