"""Tests of the lease's UDP client and server on the loopback interface."""

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
WAIT_TIMEOUT_S = 20
BOOT_LONG_AGO_S = -1e9


def wait_for(condition):
    end = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.005)


def start_server(name, persisted):
    promises = LeasePromises(SETTINGS, BOOT_LONG_AGO_S)
    return LeaseServer(
        Listen("127.0.0.1", 0),
        SETTINGS,
        promises,
        lambda epoch: LeaseView(0, 7, target=("s", "t")),
        lambda *fence: persisted.append(fence),
    )


def test_lease_survives_loss_of_one_control_vm_and_expires_without_a_majority():
    """A lease must outlast the loss of one control VM, but not of a majority.

    Three control VMs acknowledge. When one stops, the lease is still renewed; when a
    second one stops, it expires. The last one fences the epoch only after that.
    """
    persisted, versions, reasons, notified = [], [], [], threading.Event()
    servers = [start_server(name, persisted) for name in "abc"]
    members = tuple(
        Member(name, "127.0.0.1", 1, server.port)
        for name, server in zip("abc", servers, strict=True)
    )

    def must_rejoin(reason):
        reasons.append(reason)
        notified.set()

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


def test_fenced_daemon_is_notified_once_per_epoch():
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


def test_port_in_use_raises_port_taken():
    server = start_server("a", [])
    try:
        with pytest.raises(TamarackhavenError) as caught:
            LeaseServer(
                Listen("127.0.0.1", server.port), SETTINGS, None, None, None, None
            )
        assert caught.value.kind is ErrorKind.PORT_TAKEN
    finally:
        server.stop()


def test_renewal_of_an_epoch_not_yet_applied_is_retried_soon():
    """A target joins, and its first renewal arrives before its epoch is applied.

    The control VM refuses an epoch beyond its state. If the target retried only in the
    next round, it would wait for 2 s instead of some 20 ms.
    """
    settings = LeaseSettings(lease_ms=6000, renew_ms=2000)
    views = [LeaseView(0, 2), LeaseView(0, 3, target=("s", "t"))]
    server = LeaseServer(
        Listen("127.0.0.1", 0),
        settings,
        LeasePromises(settings, BOOT_LONG_AGO_S),
        lambda epoch: views.pop(0) if len(views) > 1 else views[0],
        lambda *fence: None,
    )
    members = (Member("a", "127.0.0.1", 1, server.port),)
    client = LeaseClient(
        settings, Membership(members), lambda version: 0, lambda reason: 0
    )
    try:
        client.set_grant(3)
        started = time.monotonic()
        wait_for(client.holds)
        assert time.monotonic() - started < 1.5
        assert server.answers_by_reason[Reason.NOT_READY] == 1
    finally:
        client.stop()
        server.stop()
