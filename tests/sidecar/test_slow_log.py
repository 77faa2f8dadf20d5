"""Keys granted in replies to heartbeats, with late commits and changing leaders."""

import pytest

from tamarackhaven.fleet import _leases
from tamarackhaven.fleet._leases import LeaseBook
from tamarackhaven.fleet._open_changes import OpenChanges
from tests.sidecar.held_by_calls import TwoHoldersError
from tests.sidecar.held_by_heartbeats import SlowLogWorld

SEEDS = 12
SEARCHED = 100


@pytest.mark.parametrize("seed", range(SEEDS))
def test_no_key_has_two_holders_however_late_a_change_is_committed(seed):
    SlowLogWorld(seed).run(60.0)


@pytest.mark.parametrize("seed", range(3))
def test_all_keys_are_held_again_once_changes_are_committed(seed):
    world = SlowLogWorld(seed)
    world.run(30.0)
    world.is_calm = True
    world.run(15.0)
    assert world.served() == 1.0


def grant_what_is_open(monkeypatch):
    monkeypatch.setattr(OpenChanges, "without", lambda self, owned, *_rest: owned)


def forget_former_leaders(monkeypatch):
    def begin(self, lease_s, elected_s):
        real(self, lease_s, elected_s)
        self._inherited_until_s = elected_s

    real = LeaseBook.__init__
    monkeypatch.setattr(_leases.LeaseBook, "__init__", begin)


@pytest.mark.parametrize("weaken", [grant_what_is_open, forget_former_leaders])
def test_the_search_finds_each_missing_safeguard(weaken, monkeypatch):
    weaken(monkeypatch)

    def run_all():
        for seed in range(SEARCHED):
            SlowLogWorld(seed).run(60.0)

    with pytest.raises(TwoHoldersError):
        run_all()
