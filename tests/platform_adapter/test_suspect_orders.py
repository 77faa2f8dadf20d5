"""Orders of people on call about requests under which targets end."""

import asyncio
import json

import pytest
from operator_api import OperatorApi

from tamarackhaven.fleet import Outcome, UpdateSuspects
from tamarackhaven.fleet._suspects import SuspectPhase, SuspectRequest
from tamarackhaven.fleet.control_vm import NotLeaderError
from tamarackhaven.net import HttpRequest

REQUEST = bytes.fromhex("aeaecf1fd412822d1dc776e5")


class Control:
    """Fake control VM that keeps the orders."""

    leads = True

    def __init__(self):
        self.commands = []

    async def execute(self, command):
        self._require_leadership()
        self.commands.append(command)
        return Outcome()

    async def read_suspects(self):
        self._require_leadership()
        return (SuspectRequest(REQUEST, SuspectPhase.QUARANTINED, (1,), 3, 3),)

    def _require_leadership(self):
        if not self.leads:
            raise NotLeaderError("10.0.0.2")


class Log:
    def say(self, sentence, **fields):
        pass


def answer(control, method, path):
    api = OperatorApi(control, 8620, Log())
    return asyncio.run(api.handle(HttpRequest(method, path, (), b"", 0.0)))


def test_suspects_are_listed():
    response = answer(Control(), "GET", "/api/suspects")
    (row,) = json.loads(response.body)["suspects"]
    assert row["request"] == REQUEST.hex()
    assert (row["phase"], row["ends"]) == ("quarantined", 3)


def test_a_suspect_is_forgotten_by_its_digest():
    control = Control()
    path = f"/api/suspects/{REQUEST.hex()}/forget"
    assert answer(control, "POST", path).status == 200
    assert control.commands == [UpdateSuspects(forgotten=(REQUEST,))]


@pytest.mark.parametrize("digest", ["", "zz", "abc", "AB", "ab/cd"])
def test_what_is_no_digest_is_not_found(digest):
    control = Control()
    path = f"/api/suspects/{digest}/forget"
    assert answer(control, "POST", path).status == 404
    assert not control.commands


@pytest.mark.parametrize(
    ("method", "path"),
    [("GET", "/api/suspects"), ("POST", f"/api/suspects/{REQUEST.hex()}/forget")],
)
def test_another_control_vm_that_leads_is_named(method, path):
    control = Control()
    control.leads = False
    response = answer(control, method, path)
    assert response.status == 307
    assert dict(response.headers)[b"Location"] == f"http://10.0.0.2:8620{path}".encode()
