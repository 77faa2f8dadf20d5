"""The soak's losses of updates: whole messages, every other one, of chosen daemons."""

import types

import pytest

from soak._fleet import SoakFleet
from soak._lost_updates import LostUpdates
from soak._proxy import Direction, Flow
from soak._records import Records
from standin.fleet_target import PORTS
from standin.message_filter import MessageFilter
from tamarackhaven.fleet._messages import (
    CONTROL_CODEC,
    ConfigurationView,
    DaemonHello,
    ZonesView,
)
from tamarackhaven.routing import Configuration

HOST = "127.9.2.1"
PROBE = b"\xff\xff\xff\xff"


def frame(message):
    data = CONTROL_CODEC.pack(message)
    return len(data).to_bytes(4, "big") + data


CONFIGURATION = frame(ConfigurationView(1, Configuration(1)))
ZONES = frame(ZonesView(1, ("z",)))


@pytest.mark.parametrize("size", [1, 3, 1000])
def test_a_filter_loses_whole_messages_however_the_bytes_come(size):
    kept = MessageFilter(lambda kind: kind == "ConfigurationView")
    data = ZONES + CONFIGURATION + PROBE + CONFIGURATION + ZONES
    parts = [data[at : at + size] for at in range(0, len(data), size)]
    assert b"".join(kept(part) for part in parts) == ZONES + PROBE + ZONES


def test_every_other_configuration_of_a_chosen_daemon_is_lost():
    losses = LostUpdates()
    flow = Flow(frame(DaemonHello(f"{HOST}:{PORTS['links']}", "boot")))
    losses.filter_flow(("127.9.2.11", HOST), flow)
    kept = flow.filter_by_direction[Direction.BACK]
    assert kept(CONFIGURATION) == CONFIGURATION
    with losses.losing(HOST):
        assert kept(CONFIGURATION + ZONES) == ZONES
        assert kept(CONFIGURATION) == CONFIGURATION
        assert kept(CONFIGURATION) == b""
    assert kept(CONFIGURATION) == CONFIGURATION
    assert losses.lost_by_host == {HOST: 2}


@pytest.mark.parametrize("has_lost", [False, True])
def test_a_daemon_that_is_behind_without_a_lost_update_is_detected(has_lost):
    daemon = types.SimpleNamespace(
        name=HOST, lines=[{"sentence": "daemon: view behind"}]
    )
    losses = LostUpdates()
    losses.lost_by_host[HOST] += has_lost
    fleet = types.SimpleNamespace(
        daemons=[daemon], lost_updates=losses, records=Records()
    )
    SoakFleet._check_views(fleet)
    assert bool(fleet.records.violations) is not has_lost
