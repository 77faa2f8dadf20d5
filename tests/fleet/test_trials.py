"""The leader's permits for suspects, and what it writes down about them."""

import pytest

from tamarackhaven.fleet._leadership import DISCOVERY_TIMEOUT_S, Leadership
from tamarackhaven.fleet._messages import Report
from tamarackhaven.fleet._state import FleetState
from tamarackhaven.fleet._suspects import (
    MAX_ENDS,
    MAX_SUSPECTS,
    OpenRun,
    RequestAnswers,
    SuspectPhase,
    TargetEnd,
)
from tamarackhaven.fleet._trials import (
    QUARANTINE_S,
    REVIEW_INTERVAL_S,
    SUSPECT_TTL_S,
    Trials,
)

REQUEST = b"request"
LEASE_S = 2.0


def end(number, *requests):
    runs = tuple(OpenRun(each) for each in requests or (REQUEST,))
    return TargetEnd(f"i{number}@1@h:1", runs)


class Group:
    """A leader's trials with its state; commits at once when told to."""

    def __init__(self, trials=None):
        self.trials = trials or Trials(LEASE_S)
        self.state = FleetState()
        self._index = 0
        self.now = 100.0

    def report(self, daemon, **fields):
        """Record a report and return the permits in its answer."""
        report = Report(1, **fields)
        self.trials.record(daemon, report, self.state, self.now)
        return self.trials.grant(daemon, report, self.state, self.now)

    def want(self, daemon, **fields):
        return self.report(daemon, wanted_trials=(REQUEST,), **fields)

    def commit(self):
        """Commit the change that is due, and return it."""
        command = self.trials.update(self.state, self.now)
        if command is not None:
            self._index += 1
            self.state.apply(self._index, command)
            self.trials.close(command)
        return command

    @property
    def suspect(self):
        return self.state.suspect_by_request.get(REQUEST)


def suspected_group():
    group = Group()
    group.report("a", ends=(end(1),))
    group.commit()
    return group


def test_a_suspect_runs_at_one_target_at_a_time():
    # Guards against: callers at several daemons send a request again together, and it
    # ends a target for each of them.
    group = suspected_group()
    assert group.want("a") == (REQUEST,)
    assert group.want("b") == ()
    assert group.report("a", trials=(REQUEST,)) == ()
    assert group.want("b") == ()
    group.report("a")
    assert group.want("b") == (REQUEST,)


def test_a_daemon_is_given_its_permit_again_until_it_says_that_it_has_it():
    group = suspected_group()
    assert group.want("a") == (REQUEST,)
    assert group.want("a") == (REQUEST,)
    assert group.want("a", trials=(REQUEST,)) == ()


def test_a_request_that_still_runs_elsewhere_gets_no_permit():
    # Guards against: copies that were sent before the first end was known.
    group = suspected_group()
    group.report("c", trials=(REQUEST,))
    assert group.want("a") == ()
    group.report("c")
    assert group.want("a") == (REQUEST,)


def test_the_permit_of_a_silent_daemon_expires():
    group = suspected_group()
    group.want("a")
    group.now += LEASE_S / 2
    assert group.want("b") == ()
    group.now += LEASE_S
    assert group.want("b") == (REQUEST,)


def test_ends_count_before_they_are_in_the_log():
    # Guards against: while a disk stalls, each daemon gets a permit for its caller.
    group = Group()
    for number in range(MAX_ENDS):
        assert group.want("a", ends=(end(number),)) == (
            (REQUEST,) if number < MAX_ENDS - 1 else ()
        )
    group.commit()
    assert group.suspect.phase is SuspectPhase.QUARANTINED
    assert group.want("b") == ()


def test_a_new_leader_gives_no_permit_until_all_daemons_have_reported():
    # Guards against: the former leader's permit is still in use.
    leadership = Leadership(1, LEASE_S, 100.0)
    report = Report(1, wanted_trials=(REQUEST,))
    state = FleetState()
    early_s = 100.0 + DISCOVERY_TIMEOUT_S / 2
    assert leadership.grant(report, state, early_s, "a").trials == ()
    late_s = 100.1 + DISCOVERY_TIMEOUT_S
    assert leadership.grant(report, state, late_s, "a").trials == (REQUEST,)


def test_an_end_that_is_reported_again_is_written_down_once():
    group = suspected_group()
    group.report("a", ends=(end(1),))
    group.report("b", ends=(end(1),))
    assert group.commit() is None
    assert group.suspect.end_count == 1


def test_an_answer_after_the_end_clears_the_request_at_once():
    group = suspected_group()
    group.report("b", answers=(RequestAnswers(REQUEST, 1),), ends=(end(1),))
    group.commit()
    assert group.suspect.phase is SuspectPhase.CLEARED


def test_an_answer_before_an_end_does_not_clear_the_request_of_it():
    group = suspected_group()
    group.report("b", answers=(RequestAnswers(REQUEST, 1),))
    group.report("c", ends=(end(2),))
    group.commit()
    assert group.suspect.phase is SuspectPhase.SUSPECT
    assert group.suspect.answers == 1


def test_answers_of_a_cleared_request_are_written_down_once_a_second_at_most():
    # Guards against: a popular request that was beside a crash costs a commit for each
    # answer.
    group = suspected_group()
    commits = 0
    for _ in range(400):
        group.now += 0.02
        group.report("b", answers=(RequestAnswers(REQUEST, 1),))
        commits += group.commit() is not None
    assert group.suspect.phase is SuspectPhase.CLEARED
    assert commits <= 10
    assert group.suspect.answers >= group.suspect.answers_wanted


def test_one_change_is_proposed_at_a_time():
    group = Group()
    group.report("a", ends=(end(1),))
    first = group.trials.update(group.state, group.now)
    group.report("a", ends=(end(2),))
    assert group.trials.update(group.state, group.now) is None
    group.trials.close(first, is_void=True)
    second = group.trials.update(group.state, group.now)
    assert {each.life for each in second.ends} == {end(1).life, end(2).life}


@pytest.mark.parametrize("quarantines", [1, 2, 3])
def test_a_quarantined_request_may_run_again_after_ever_longer_times(quarantines):
    group = Group()
    group.report("a", ends=tuple(end(number) for number in range(MAX_ENDS)))
    group.commit()
    for number in range(quarantines):
        wait_s = QUARANTINE_S * 2**number
        assert group.suspect.phase is SuspectPhase.QUARANTINED
        group.now += REVIEW_INTERVAL_S
        group.commit()
        group.now += wait_s - 2
        group.commit()
        assert group.suspect.phase is SuspectPhase.QUARANTINED
        group.now += 4
        group.commit()
        assert group.suspect.phase is SuspectPhase.SUSPECT
        assert group.want("a") == (REQUEST,)
        group.report("a", ends=(end(100 + number),))
        group.commit()
    assert group.suspect.quarantines == quarantines + 1


def test_a_suspect_without_further_ends_is_forgotten():
    group = suspected_group()
    group.now += 2
    group.commit()
    group.now += SUSPECT_TTL_S - 4
    group.commit()
    assert group.suspect is not None
    group.now += 6
    group.commit()
    assert group.suspect is None


def test_an_answer_that_comes_with_an_end_before_it_clears_the_request():
    group = Group()
    group.report("a", ends=(end(1),))
    group.report("b", answers=(RequestAnswers(REQUEST, 1),))
    group.commit()
    assert group.suspect.phase is SuspectPhase.CLEARED


def test_an_end_without_room_in_the_state_is_not_proposed_again():
    # Guards against: a commit every few milliseconds, for ever.
    group = Group()
    for number in range(MAX_SUSPECTS):
        request = f"bad {number}".encode()
        group.report("a", ends=tuple(end(n, request) for n in range(MAX_ENDS)))
    while group.commit():
        pass
    assert len(group.state.suspect_by_request) == MAX_SUSPECTS
    group.report("a", ends=(end(1),))
    assert group.commit() is not None
    assert group.suspect is None
    assert group.commit() is None
