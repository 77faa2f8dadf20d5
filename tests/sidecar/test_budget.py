"""The retry budget of a service, shared by daemons that don't coordinate."""

import pytest

from tamarackhaven.fleet._settings import BudgetSettings
from tamarackhaven.sidecar._budget import ServiceRetryBudget

SETTINGS = BudgetSettings(ratio=0.2, window_s=10.0, slack=60)
DAEMONS = 10


def spend(budget, requests, now):
    """Count requests, then spend all retries that are allowed; return how many."""
    for _ in range(requests):
        budget.count_request(now)
    spent = 0
    while budget.try_spend(DAEMONS, now):
        spent += 1
    return spent


def test_all_daemons_together_stay_within_the_budget():
    budgets = [ServiceRetryBudget(SETTINGS, 0.0) for _ in range(DAEMONS)]
    spent = sum(spend(budget, 20, 100.0) for budget in budgets)
    assert 0 < spent <= 0.2 * 20 * DAEMONS + 60


@pytest.mark.parametrize("restarts", [1, 4])
def test_restarts_of_all_daemons_do_not_renew_the_budget(restarts):
    # Guards against: each restart forgets the retries of the window, and the slack is
    # spent again.
    spent = 0
    now = 100.0
    for count in range(restarts + 1):
        started_s = now if count else 0.0
        for _ in range(DAEMONS):
            spent += spend(ServiceRetryBudget(SETTINGS, started_s), 0, now + 0.5)
        now += 2.0
    assert 0 < spent <= 60


def test_a_daemon_has_its_slack_again_a_window_after_its_start():
    budget = ServiceRetryBudget(SETTINGS, 100.0)
    assert spend(budget, 0, 109.0) == 0
    assert spend(budget, 0, 110.0) > 0
