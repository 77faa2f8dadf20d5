"""Keys granted in replies to heartbeats, with late commits and changing leaders."""

import pytest

from tamarackhaven.fleet import _leases
from tamarackhaven.fleet._leases import LeaseTable
from tamarackhaven.fleet._open_changes import OpenChanges
from tests.sidecar.held_by_calls import TwoHoldersError
from tests.sidecar.held_by_heartbeats import SlowLogWorld

SEEDS = 12
MAX_SEARCHED_SEEDS = 100


@pytest.mark.parametrize("seed", range(SEEDS))
def test_no_key_has_two_holders_with_late_commits(seed):
    SlowLogWorld(seed).run(60.0)


@pytest.mark.parametrize("seed", range(3))
def test_all_keys_are_held_again_once_changes_are_committed(seed):
    world = SlowLogWorld(seed)
    world.run(30.0)
    world.is_calm = True
    world.run(15.0)
    assert world.served() == 1.0


def grant_keys_with_open_changes(monkeypatch):
    monkeypatch.setattr(OpenChanges, "without", lambda self, owned, *_rest: owned)


def ignore_leases_of_former_leaders(monkeypatch):
    def begin(self, lease_s, elected_s):
        real_init(self, lease_s, elected_s)
        self._former_leader_expiry_s = elected_s

    real_init = LeaseTable.__init__
    monkeypatch.setattr(_leases.LeaseTable, "__init__", begin)


@pytest.mark.parametrize(
    "remove_safeguard", [grant_keys_with_open_changes, ignore_leases_of_former_leaders]
)
def test_the_simulation_detects_each_missing_safeguard(remove_safeguard, monkeypatch):
    remove_safeguard(monkeypatch)

    def run_seeds():
        for seed in range(MAX_SEARCHED_SEEDS):
            SlowLogWorld(seed).run(60.0)

    with pytest.raises(TwoHoldersError):
        run_seeds()
