"""Tests that a control VM with a fatal error exits and stops all its threads."""

import socket
import threading

import pytest

from standin.cluster import HOST, free_port, wait_until
from tamarackhaven import _files
from tamarackhaven._changes import PutResource
from tamarackhaven._control_client import ControlClient
from tamarackhaven._control_process import run_control
from tamarackhaven._model import AvailabilityZone
from tamarackhaven._settings import ControlMember, ControlSettings, Listen
from tamarackhaven.errors import ErrorKind, TamarackhavenError
from tamarackhaven.plumbing import checked
from tests.broken_files import BrokenFiles

WAIT_S = 30


@pytest.fixture
def settings(tmp_path):
    member = ControlMember("c1", HOST, free_port(), free_port())
    folder = str(tmp_path / "c1")
    return ControlSettings("c1", "a", folder, Listen(HOST, free_port()), [member])


def assert_lease_port_is_free(settings):
    with socket.socket(type=socket.SOCK_DGRAM) as lease_socket:
        lease_socket.bind((HOST, settings.members[0].lease_port))


def test_failed_sync_stops_the_process_and_all_threads(settings, monkeypatch):
    """The disk of a control VM fails while daemons renew leases with it.

    The sync of a change fails, and the member stops. If the lease thread kept running,
    the process would not exit and would grant leases that it can't record.
    """
    files, errors = BrokenFiles(), []
    monkeypatch.setattr(_files, "Files", lambda: files)

    def run():
        try:
            run_control(settings, True, threading.Event())
        except TamarackhavenError as error:
            errors.append(error)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    client = ControlClient(settings.members)
    try:
        client.fetch(0, WAIT_S, linearizable=True)
        files.failure = "sync"
        with pytest.raises(TamarackhavenError):
            checked(client.change(PutResource("1", AvailabilityZone("a")), 2))
    finally:
        client.close()
    wait_until(lambda: errors, WAIT_S, "the process to end")
    assert errors[0].kind is ErrorKind.SYNC_FAILED
    assert_lease_port_is_free(settings)


def test_taken_port_stops_the_process_and_all_threads(settings):
    """If only the TCP port is taken, the lease port must be released as well."""
    with socket.socket() as blocking_socket:
        blocking_socket.bind((HOST, settings.members[0].port))
        blocking_socket.listen()
        with pytest.raises(TamarackhavenError) as caught:
            run_control(settings, True, threading.Event())
    assert caught.value.kind is ErrorKind.PORT_TAKEN
    assert str(settings.members[0].port) in caught.value.detail
    assert_lease_port_is_free(settings)
