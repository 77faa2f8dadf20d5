"""Tests of how a daemon joins, with a fake client of the control group."""

import socket

from tamarackhaven._changes import Outcome
from tamarackhaven._daemon_process import DaemonProcess
from tamarackhaven._events import ResourceChanged, ShardChanged, TargetChanged
from tamarackhaven._history import Feed
from tamarackhaven._model import Address, Service, ShardGrant, TargetMember
from tamarackhaven._settings import Listen, LogSettings
from tamarackhaven._target_link import Announcement
from tamarackhaven.errors import TamarackhavenError
from tests.fakes import daemon_settings, wait_for

EPOCH = 55
GRANT = ShardGrant("s", 0, "t1", EPOCH, grant=7, version=60)


class FakeClient:
    """Answers a join only once the daemon has applied the resulting state."""

    def __init__(self, process):
        self.process = process
        self.feed = Feed(0, False, [])

    def fetch(self, version, timeout_s, linearizable=False):
        return self.feed

    def change(self, change, timeout_s):
        member = TargetMember(
            change.service,
            change.target,
            change.zone,
            change.instance,
            change.incarnation,
            change.peer,
            epoch=EPOCH,
        )
        service = ResourceChanged(60, Service("s", "p", shard_count=4))
        events = [service, TargetChanged(60, member), ShardChanged(60, GRANT)]
        self.feed = Feed(60, True, events)
        wait_for(lambda: self.process._view.version == 60)
        return Outcome(member=member)

    def set_members(self, members):
        """Do nothing: there are no other members."""

    def close(self):
        """Do nothing: no connection is open."""


def owns(process, grant):
    try:
        process.daemon._grants.enter(grant, 1)
    except TamarackhavenError:
        return False
    process.daemon._grants.leave(grant, 1)
    return True


def test_shards_are_owned_when_the_state_arrives_before_the_join_answer(tmp_path):
    """A daemon that joins again must keep its shards under the new epoch.

    The state with that epoch is applied before the answer to the join names the epoch.
    When the state wasn't checked again after the answer, callers got MOVING.
    """
    target = socket.create_server(("127.0.0.1", 0))
    port = target.getsockname()[1]
    settings = daemon_settings(
        data_folder=str(tmp_path),
        logs=LogSettings(file="log"),
        target_address=Listen("127.0.0.1", port),
    )
    process = DaemonProcess(settings)
    process._client.close()
    process._client = process._handover._client = FakeClient(process)
    process._reports._client = process._client
    process.start()
    try:
        process.daemon.announced(Announcement("1", 4, Address("127.0.0.1", port)))
        wait_for(lambda: process._lease.epoch() == EPOCH)
        wait_for(lambda: owns(process, GRANT), limit_s=3.0)
    finally:
        process.stop()
        target.close()
