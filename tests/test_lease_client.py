"""Tests of the lease's UDP client and server on loopback."""

import socket
import threading
import time

import pytest

from tamarackhaven._lease_client import LeaseClient
from tamarackhaven._lease_holder import LeaseLoss
from tamarackhaven._lease_promises import LeasePromises, LeaseView
from tamarackhaven._lease_server import LeaseServer
from tamarackhaven._lease_wire import Reason
from tamarackhaven._members import Member, Membership
from tamarackhaven._settings import LeaseSettings, Listen
from tamarackhaven.errors import ErrorKind, TamarackhavenError

SETTINGS = LeaseSettings(lease_ms=1500, renew_ms=50)
WAIT_S = 20
LONG_AGO = -1e9


def wait_for(condition):
    end = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.005)


def start_server(name, persisted):
    promises = LeasePromises(SETTINGS, LONG_AGO)
    return LeaseServer(
        Listen("127.0.0.1", 0),
        SETTINGS,
        promises,
        lambda epoch: LeaseView(0, 7, target=("s", "t")),
        lambda *fence: persisted.append(fence),
    )


def test_lease_is_held_through_loss_of_one_then_fenced():
    """A daemon that lost one control VM goes on; without a majority it stops.

    Three control VMs acknowledge; one stops and the lease stays. A second one stops
    and the lease ends. The last one fences only then, and the daemon hears of it.
    """
    persisted, versions, reasons, told = [], [], [], threading.Event()
    servers = [start_server(name, persisted) for name in "abc"]
    members = tuple(
        Member(name, "127.0.0.1", 1, server.port)
        for name, server in zip("abc", servers, strict=True)
    )

    def must_rejoin(reason):
        reasons.append(reason)
        told.set()

    client = LeaseClient(SETTINGS, Membership(members), versions.append, must_rejoin)
    try:
        assert client.lost() is LeaseLoss.NO_GRANT
        client.set_grant(3)
        wait_for(client.holds)
        client.set_state_version(7)
        wait_for(lambda: client.confirmed_at() > 0)
        assert not servers[0].fence("s", "t", 3).ok
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stray:
            stray.sendto(b"not ours", ("127.0.0.1", servers[0].port))
        wait_for(lambda: servers[0].dropped == 1)
        servers[0].hint(9)
        wait_for(lambda: versions == [7, 9])
        servers[2].stop()
        end = client.held_until()
        wait_for(lambda: client.held_until() > end + 1)
        servers[1].stop()
        wait_for(lambda: client.lost() is LeaseLoss.EXPIRED)
        assert persisted == []
        client.release()
        wait_for(lambda: servers[0].fence("s", "t", 3).ok)
        assert persisted == [("s", "t", 3)]
        assert client.lost() is LeaseLoss.RELEASED
    finally:
        client.stop()
        servers[0].stop()
    assert not reasons


def test_fenced_daemon_is_told_once():
    server = start_server("a", [])
    assert server.fence("s", "t", 3).ok
    members = (Member("a", "127.0.0.1", 1, server.port),)
    reasons = []
    client = LeaseClient(
        SETTINGS, Membership(members), lambda version: 0, reasons.append
    )
    try:
        client.set_grant(3)
        wait_for(lambda: reasons == [Reason.FENCED])
        client.set_grant(4)
        wait_for(client.holds)
        assert reasons == [Reason.FENCED]
    finally:
        client.stop()
        server.stop()


def test_taken_port_is_an_error_with_a_code():
    server = start_server("a", [])
    try:
        with pytest.raises(TamarackhavenError) as caught:
            LeaseServer(
                Listen("127.0.0.1", server.port), SETTINGS, None, None, None, None
            )
        assert caught.value.kind is ErrorKind.PORT_TAKEN
    finally:
        server.stop()


def test_epoch_that_is_not_applied_yet_is_asked_for_again_soon():
    """A target joins, and its first renewal is faster than the news of its epoch.

    The control VM refuses an epoch beyond its state. A whole round later the target
    would have waited for 2 s in place of some 20 ms.
    """
    settings = LeaseSettings(lease_ms=6000, renew_ms=2000)
    views = [LeaseView(0, 2), LeaseView(0, 3, target=("s", "t"))]
    server = LeaseServer(
        Listen("127.0.0.1", 0),
        settings,
        LeasePromises(settings, LONG_AGO),
        lambda epoch: views.pop(0) if len(views) > 1 else views[0],
        lambda *fence: None,
    )
    members = (Member("a", "127.0.0.1", 1, server.port),)
    client = LeaseClient(
        settings, Membership(members), lambda version: 0, lambda reason: 0
    )
    try:
        client.set_grant(3)
        begun = time.monotonic()
        wait_for(client.holds)
        assert time.monotonic() - begun < 1.5
        assert server.answers_by_reason[Reason.NOT_READY] == 1
    finally:
        client.stop()
        server.stop()
