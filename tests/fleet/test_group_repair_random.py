"""Random sequences of lost, replaced and restarted control VMs, without processes.

Runs the real membership manager, search and consensus of each VM over a simulated
network. After each loss that the group should survive, it must have all its voters
again before the next one.
"""

import asyncio
import concurrent.futures
import random

import attrs
import pytest

from tamarackhaven._consensus import Status
from tamarackhaven._members import Membership
from tamarackhaven._raft import Role
from tamarackhaven._settings import RaftSettings
from tamarackhaven.errors import TamarackhavenError
from tamarackhaven.fleet import _growth
from tamarackhaven.fleet._group_keeper import MembershipManager
from tamarackhaven.fleet._messages import JoinGroup
from tamarackhaven.fleet._settings import FleetControlSettings
from tests.raft_group import Disk, Group

PORT = 7
TOLERATED_LOSSES = 2
REQUIRED_VOTERS = _growth.count_required_voters(TOLERATED_LOSSES)
REPAIR_TIMEOUT_S = 4.0
STEP_S = 0.05
TICK_INTERVAL_S = 0.1
EVENT_COUNT = 6
SEED_COUNT = 3
RAFT_SETTINGS = RaftSettings(
    heartbeat_ms=100,
    election_ms=500,
    first_election_ms=200,
    batch_entries=4,
    snapshot_entries=16,
    chunk_bytes=1024,
)


@attrs.define
class SilentLog:
    def say(self, sentence, **fields):
        pass


class ControlVm:
    """One control VM; also serves as its manager's links and consensus."""

    def __init__(self, world, host, name, seeds):
        self.world = world
        self.host = host
        self.name = name
        self.last_received_s_by_name = {}
        settings = FleetControlSettings(
            name=host,
            operators=f"{host}:8620",
            links=f"{host}:{PORT}",
            data_folder="d",
            seeds=[f"{seed}:8620" for seed in seeds],
        )
        now = world.group.now
        self.manager = MembershipManager(
            settings, REQUIRED_VOTERS, self, self, SilentLog(), now
        )

    @property
    def node(self):
        return self.world.group.nodes.get(self.name)

    def status(self):
        node = self.node
        return Status(
            self.name,
            node.role,
            node.leader,
            node.term,
            0,
            0,
            node.membership,
            node.caught_up,
        )

    def change_membership(self, step):
        future = concurrent.futures.Future()
        try:
            output = self.node.change_membership(step, self.world.group.now)[2]
        except TamarackhavenError as error:
            future.set_exception(error)
            return future
        self.world.group.take(self.name, output)
        future.set_result(None)
        return future

    def set_address(self, name, host, port):
        pass

    def ask_to_join(self, addresses):
        request = JoinGroup(self.name, self.host, PORT)
        for host, _ in sorted(addresses):
            asked = self.world.vm_by_host.get(host)
            if asked is not None and self.world.is_reachable(self, asked):
                hint = asked.manager.handle_join_request(request, self.world.group.now)
                self.manager.add_addresses(hint.control)

    def tick(self, loop):
        """Do what the process does every tenth of a second."""
        status = self.status()
        now = self.world.group.now
        if status.role is Role.LEADER:
            self._send_address(status)
            loop.run_until_complete(self.manager.make_due_changes(now))
        else:
            self.manager.ask_to_join(status, now)

    def _send_address(self, status):
        """Give this VM's address to the VMs at the members' addresses."""
        for member in status.membership.members:
            receiver = self.world.vm_by_host.get(member.host)
            if receiver is not None and self.world.is_reachable(self, receiver):
                receiver.manager.add_addresses([(self.host, PORT)])


class World(Group):
    """Control VMs by host; messages to names that aren't running are lost."""

    def __init__(self, seed):
        super().__init__(seed=seed, settings=RAFT_SETTINGS)
        self.group = self
        self.rng = random.Random(seed)
        self.loop = asyncio.new_event_loop()
        self.hosts = []
        self.seed_hosts = []
        self.disk_count = 0
        self.vm_by_host = {}
        founding = [self._new_host() for _ in range(REQUIRED_VOTERS)]
        self.first = _growth.founders([(host, PORT) for host in founding])
        for host in founding:
            name = f"{host}:{PORT}"
            self.disks[name] = Disk(self.first)
            self._begin(host, name, founding[:SEED_COUNT])

    def _new_host(self):
        self.hosts.append(f"10.0.0.{len(self.hosts) + 1}")
        return self.hosts[-1]

    def _begin(self, host, name, seeds):
        self.vm_by_host[host] = ControlVm(self, host, name, seeds)
        self.start(name)

    def deliver(self, message, syncs=True):
        super().deliver(message, syncs)
        for vm in self.vm_by_host.values():
            if vm.name == message.receiver:
                vm.last_received_s_by_name[message.sender] = self.now

    def pass_time(self, seconds):
        for _ in range(round(seconds / TICK_INTERVAL_S)):
            self.run(TICK_INTERVAL_S, STEP_S)
            for vm in self.vm_by_host.values():
                if vm.node is not None:
                    vm.tick(self.loop)
            self.settle()

    def is_reachable(self, vm, other):
        link = (vm.name, other.name)
        return vm is not other and other.node is not None and link not in self.blocked

    # Losses.

    def lose_disk(self, host):
        vm = self.vm_by_host[host]
        self.crash(vm.name)
        self._begin_empty(host)

    def lose_vm(self, host):
        vm = self.vm_by_host.pop(host)
        self.crash(vm.name)
        self._begin_empty(self._new_host())

    def restart(self, host):
        vm = self.vm_by_host[host]
        self.crash(vm.name)
        self.pass_time(1.0)
        self._begin(host, vm.name, self._seeds())

    def cut_off(self, host):
        self.cut(self.vm_by_host[host].name)
        self.pass_time(3.0)
        self.heal()

    def power_off(self):
        """Stop all VMs at once, and restart them in random order with random delays."""
        for vm in self.vm_by_host.values():
            if vm.node is not None:
                self.crash(vm.name)
        hosts = sorted(self.vm_by_host)
        self.rng.shuffle(hosts)
        for host in hosts:
            self._begin(host, self.vm_by_host[host].name, self._seeds())
            self.pass_time(self.rng.choice([0.0, 0.2]))

    def _begin_empty(self, host):
        self.disk_count += 1
        name = f"{host}:{PORT}/{self.disk_count}"
        self.disks[name] = Disk(Membership(()))
        self._begin(host, name, self._seeds())

    def _seeds(self):
        return self.rng.sample(self.seed_hosts, SEED_COUNT)

    # Check.

    def check_all_voters(self):
        leader = self.leader()
        assert leader is not None, "the group has no leader"
        voters = set(self.nodes[leader].membership.voters)
        assert voters == {vm.name for vm in self.vm_by_host.values()}
        assert len(voters) == REQUIRED_VOTERS


LOSS_BY_NAME = {
    "disk": World.lose_disk,
    "gone": World.lose_vm,
    "restart": World.restart,
    "cut": World.cut_off,
}
POWER_LOSS_FRACTION = 0.25


@pytest.mark.parametrize("seed", range(20))
def test_a_group_has_all_its_voters_again_after_any_tolerated_losses(seed):
    # Guards against a newcomer that never becomes a voter after some order of losses.
    world = World(seed)
    try:
        world.pass_time(REPAIR_TIMEOUT_S)
        for _ in range(EVENT_COUNT):
            # Seeds are taken from the control VMs that ran before the losses.
            world.seed_hosts = sorted(world.vm_by_host)
            count = world.rng.randint(1, TOLERATED_LOSSES)
            for host in world.rng.sample(sorted(world.vm_by_host), count):
                loss = world.rng.choice(sorted(LOSS_BY_NAME))
                LOSS_BY_NAME[loss](world, host)
            if world.rng.random() < POWER_LOSS_FRACTION:
                world.power_off()
            world.pass_time(REPAIR_TIMEOUT_S)
            world.check_all_voters()
    finally:
        world.loop.close()
