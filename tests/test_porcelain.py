"""What the commands send to the control group, and what they print."""

import pytest

from tamarackhaven import plumbing, porcelain
from tamarackhaven._changes import Outcome
from tamarackhaven._members import Member, Step
from tamarackhaven.errors import ErrorKind, TamarackhavenError

SETTINGS = """
data_folder = "{folder}"
[[control]]
name = "c1"
host = "127.0.0.1"
port = 1
lease_port = 2
"""


class FakeClient:
    """Records the membership steps and answers each with the same outcome."""

    outcome = Outcome(version=12)

    def __init__(self, members):
        FakeClient.steps = []

    def change_membership(self, step, timeout_s):
        self.steps.append(step)
        return self.outcome

    def close(self):
        pass


@pytest.fixture
def settings(tmp_path, monkeypatch):
    monkeypatch.setattr(plumbing, "ControlClient", FakeClient)
    path = tmp_path / "operator.toml"
    path.write_text(SETTINGS.format(folder=tmp_path))
    return str(path)


def test_member_commands_send_one_step_and_print_its_version(settings, capsys):
    porcelain.member_add("c4", "10.0.0.4", 7100, 7101, settings=settings)
    assert FakeClient.steps == [
        Step("add", Member("c4", "10.0.0.4", 7100, 7101, voter=False))
    ]
    porcelain.member_promote("c4", settings=settings)
    assert FakeClient.steps == [Step("promote", Member("c4", "", 0, 0))]
    porcelain.member_remove("c3", settings=settings, output="json")
    assert FakeClient.steps == [Step("remove", Member("c3", "", 0, 0))]
    assert capsys.readouterr().out.splitlines() == [
        "Member c4: added, version 12",
        "Member c4: promoted, version 12",
        '{"change_id": "", "kind": "Member", "name": "c3", "result": "removed", '
        '"type": "Applied", "version": 12}',
    ]


def test_refused_member_command_raises_the_kind_of_the_refusal(settings, monkeypatch):
    """A learner that hasn't caught up isn't promoted, and the operator must retry."""
    busy = Outcome(ErrorKind.MEMBERSHIP_BUSY.value, "not caught up", 0)
    monkeypatch.setattr(FakeClient, "outcome", busy)
    with pytest.raises(TamarackhavenError) as caught:
        porcelain.member_promote("c4", settings=settings)
    assert caught.value.kind is ErrorKind.MEMBERSHIP_BUSY
    assert caught.value.answer.exit_code == 70
