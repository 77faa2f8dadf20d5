"""How a control VM joins its group, handles join requests, and logs both."""

import asyncio
import concurrent.futures

import attrs

from tamarackhaven._consensus import Status
from tamarackhaven._members import Member, Membership
from tamarackhaven._raft import Role
from tamarackhaven.fleet._control import FleetControl
from tamarackhaven.fleet._group_keeper import MembershipManager
from tamarackhaven.fleet._joining import LEADERLESS_TIMEOUT_S
from tamarackhaven.fleet._messages import JoinGroup
from tamarackhaven.fleet._settings import FleetControlSettings, FleetLeaseSettings

OWN = "10.0.0.9"
SEEDS = ["10.0.0.2:8620", "10.0.0.3:8620", f"{OWN}:8620"]
GROUP = Membership(tuple(Member(f"10.0.0.{n}:7", f"10.0.0.{n}", 7, 0) for n in "123"))
NEWCOMER = JoinGroup(f"{OWN}:7/x", OWN, 7)


class FakeConsensus:
    def __init__(self, name, membership, leader, role):
        self._status = Status(name, role, leader, 1, 0, 0, membership)

        self.steps = []

    def status(self):
        return self._status

    def change_membership(self, step):
        self.steps.append(step)
        done = concurrent.futures.Future()
        done.set_result(None)
        return done


class FakeLinks:
    def __init__(self):
        self.asked = []
        self.last_received_s_by_name = {}

    def set_address(self, name, host, port):
        pass

    def ask_to_join(self, addresses):
        self.asked.append(set(addresses))


@attrs.define
class RecordingLog:
    lines: list = attrs.field(factory=list)

    def say(self, sentence, **fields):
        self.lines.append((sentence, fields))


def settings():
    return FleetControlSettings(
        name="c",
        operators=f"{OWN}:8620",
        links=f"{OWN}:7",
        data_folder="d",
        seeds=SEEDS,
    )


def make_manager(consensus, links=None, log=None):
    return MembershipManager(
        settings(), 3, consensus, links or FakeLinks(), log or RecordingLog(), 0.0
    )


def newcomer_consensus():
    return FakeConsensus(NEWCOMER.name, Membership(()), "", Role.LEARNER)


def follower_consensus():
    return FakeConsensus("10.0.0.2:7", GROUP, "10.0.0.1:7", Role.FOLLOWER)


def test_a_newcomers_join_request_is_logged_with_its_addresses():
    log = RecordingLog()
    newcomer = newcomer_consensus()
    make_manager(newcomer, log=log).ask_to_join(newcomer.status(), 1e9)
    ((sentence, fields),) = log.lines
    assert sentence == "asks to join"
    assert fields["addresses"] == ["10.0.0.2:7", "10.0.0.3:7"]


def test_a_follower_logs_join_requests_and_its_leader():
    log = RecordingLog()
    make_manager(follower_consensus(), log=log).handle_join_request(NEWCOMER, 1e9)
    ((sentence, fields),) = log.lines
    assert sentence == "asked to join"
    assert not fields["leads"]
    assert fields["leader"] == "10.0.0.1:7"


def test_a_join_request_is_answered_with_all_known_control_vms():
    # Guards against a newcomer that asks a follower and never learns of the leader.
    hint = make_manager(follower_consensus()).handle_join_request(NEWCOMER, 1e9)
    assert ("10.0.0.1", 7) in hint.control
    assert set(hint.control) >= {(each.host, 7) for each in GROUP.members}


def test_a_newcomer_asks_newly_received_addresses_at_once():
    newcomer = newcomer_consensus()
    links = FakeLinks()
    manager = make_manager(newcomer, links)
    manager.ask_to_join(newcomer.status(), 1e9)
    manager.add_addresses([("10.0.0.1", 7)])
    manager.ask_to_join(newcomer.status(), 1e9 + 0.01)
    assert links.asked[1] == {("10.0.0.1", 7)}


def test_new_seeds_in_the_settings_are_asked():
    # Guards against a newcomer that never joins because its first seeds are all gone.
    newcomer = newcomer_consensus()
    links = FakeLinks()
    manager = make_manager(newcomer, links)
    manager.ask_to_join(newcomer.status(), 1e9)
    manager.reload(attrs.evolve(settings(), seeds=["10.0.0.7:8620"]))
    manager.ask_to_join(newcomer.status(), 1e9 + 0.01)
    assert links.asked[1] == {("10.0.0.7", 7)}


def test_a_vm_that_restarted_twice_is_added_by_its_newest_name_only():
    # Guards against adding and removing an outdated name of a VM in turn.
    leader = FakeConsensus("10.0.0.1:7", GROUP, "10.0.0.1:7", Role.LEADER)
    manager = make_manager(leader)
    manager.handle_join_request(JoinGroup(f"{OWN}:7/older", OWN, 7), 1e9)
    manager.handle_join_request(NEWCOMER, 1e9 + 0.1)
    asyncio.run(manager.make_due_changes(1e9 + 0.2))
    assert [step.member.name for step in leader.steps] == [NEWCOMER.name]


def test_a_deposed_leader_is_leaderless_only_since_it_stepped_down():
    # If the time without a leader counted from the start of the process, a leader would
    # ask for membership as soon as it's deposed, and log a wrong time.
    leader = FakeConsensus("10.0.0.1:7", GROUP, "10.0.0.1:7", Role.LEADER)
    links = FakeLinks()
    manager = make_manager(leader, links)
    asyncio.run(manager.make_due_changes(100.0))
    deposed = attrs.evolve(leader.status(), role=Role.FOLLOWER, leader="")
    manager.ask_to_join(deposed, 100.0 + LEADERLESS_TIMEOUT_S / 2)
    assert not links.asked
    manager.ask_to_join(deposed, 100.0 + LEADERLESS_TIMEOUT_S)
    assert len(links.asked) == 1


def test_a_reload_changes_the_seeds_of_a_control_vm_but_not_its_leases():
    # Guards against a leader whose leases differ in length from those of the daemons.
    control = FleetControl(settings(), RecordingLog(), None, None)
    newcomer = newcomer_consensus()
    links = FakeLinks()
    control._membership_manager = make_manager(newcomer, links)
    lease = FleetLeaseSettings(heartbeat_s=0.2)
    control.reload(attrs.evolve(settings(), seeds=["10.0.0.7:8620"], lease=lease))
    control._membership_manager.ask_to_join(newcomer.status(), 1e9)
    assert links.asked == [{("10.0.0.7", 7)}]
    assert control._settings.lease == settings().lease


def test_a_vm_with_an_odd_address_does_not_become_a_member():
    # Guards against: all members dial an address that can't exist.
    leader = FakeConsensus("10.0.0.1:7", GROUP, "10.0.0.1:7", Role.LEADER)
    manager = make_manager(leader)
    for port in (0, -1, 99_999):
        manager.handle_join_request(JoinGroup("odd", "10.0.0.4", port), 1.0)
    asyncio.run(manager.make_due_changes(1.0))
    assert leader.steps == []
    assert not any(port in (0, -1, 99_999) for _, port in manager.addresses)
