"""The soak's control VMs: what the group bears, who votes, and cut links."""

import types

import pytest

from soak._controls import MIN_WIPE_INTERVAL_S, ControlGroup, votes
from soak._draws import draw_group_run_faults
from soak._faults import CutControl, ReplaceControl, SplitControls, WipePair
from soak._proxy import Direction, Flow
from standin.fleet import Fleet


class FakeControl:
    """A control VM that votes, or doesn't."""

    def __init__(self, host, has_vote=True):
        self.name = host
        name = f"{host}:7"
        self.lines = [
            {"sentence": "control: started", "member": name},
            {"sentence": "control: members", "voters": [name] if has_vote else []},
        ]


class FakeFleet:
    def __init__(self):
        self.controls = [FakeControl(f"127.1.1.{n}") for n in range(1, 11)]
        self.taken = set()
        self.control_proxies = []

    def is_taken(self, control):
        return control in self.taken


@pytest.fixture
def fleet():
    return FakeFleet()


def test_no_more_disks_are_lost_at_once_than_the_group_tolerates(fleet, monkeypatch):
    group = ControlGroup(fleet, 2)
    assert group.may_lose(2) and not group.may_lose(3)
    group.emptied(fleet.controls[0])
    fleet.taken.add(fleet.controls[1])
    assert not group.may_lose(1)
    fleet.taken.clear()
    assert group.may_lose(1) and not group.may_lose(2)
    monkeypatch.setattr("soak._controls.MIN_WIPE_INTERVAL_S", -MIN_WIPE_INTERVAL_S)
    assert group.may_lose(2)


def test_an_emptied_control_vm_counts_as_lost_until_it_votes(fleet, monkeypatch):
    group = ControlGroup(fleet, 2)
    monkeypatch.setattr("soak._controls.MIN_WIPE_INTERVAL_S", -MIN_WIPE_INTERVAL_S)
    without = FakeControl("127.1.1.11", has_vote=False)
    fleet.controls.append(without)
    group.emptied(without)
    assert not group.may_lose(2)
    assert group.without_vote() == [without.name]


def test_a_restarted_control_vm_votes_only_once_it_says_so_under_its_new_name():
    control = FakeControl("127.1.1.1")
    assert votes(control)
    control.lines.append({"sentence": "control: started", "member": "127.1.1.1:7/x"})
    assert not votes(control)
    control.lines.append({"sentence": "control: members", "voters": ["127.1.1.1:7"]})
    assert not votes(control)


def test_a_cut_silences_what_its_sender_sends_and_nothing_else(fleet):
    proxy = types.SimpleNamespace(address=("127.1.1.2", 7), flows=[])
    fleet.control_proxies.append(proxy)
    cut = Flow(first_bytes=b"MemberHello 127.1.1.1:7")
    similar = Flow(first_bytes=b"MemberHello 127.1.1.10:7")
    daemon = Flow(first_bytes=b"DaemonHello 127.1.1.1:7")
    proxy.flows += [cut, similar, daemon]
    group = ControlGroup(fleet, 2)
    with group.cut({("127.1.1.1", "127.1.1.2")}):
        assert cut.silenced_directions == {Direction.THERE}
        late = Flow(first_bytes=b"MemberHello 127.1.1.1:7")
        group.silence_if_cut(proxy, late)
        assert late.silenced_directions
        assert not similar.silenced_directions and not daemon.silenced_directions
    after = Flow(first_bytes=b"MemberHello 127.1.1.1:7")
    group.silence_if_cut(proxy, after)
    assert not after.silenced_directions


def test_a_run_about_the_control_group_has_each_kind_of_loss():
    kinds = {type(fault) for fault in draw_group_run_faults(7, 12.0)}
    assert {CutControl, ReplaceControl, SplitControls, WipePair} <= kinds


@pytest.mark.parametrize("has_data", [True, False])
def test_a_disk_is_wiped_also_before_its_control_vm_has_made_its_folder(
    tmp_path, has_data
):
    # Guards against a run that ends when a VM's disk is wiped right after its start.
    actions = []
    control = types.SimpleNamespace(
        name="c",
        settings="is_first_start = true",
        kill=lambda: actions.append("kill"),
        write=actions.append,
        start=lambda: actions.append("start"),
    )
    if has_data:
        (tmp_path / "c" / "group").mkdir(parents=True)
    Fleet.wipe_control(types.SimpleNamespace(folder=tmp_path), control)
    assert actions == ["kill", "is_first_start = false", "start"]
    assert not (tmp_path / "c").exists()
