"""Real processes: another writer sends one odd heartbeat in the name of a target."""

import asyncio

import pytest

from standin.fleet import Fleet
from standin.fleet_target import HEARTBEAT_S
from standin.odd_heartbeat import HUGE, NESTED, NESTED_TEXT, odd_heartbeat, write
from tests.fleet.real_fleet import run

NETS = iter(range(14, 30))
SERVICES = ("owned", "owned", "shared")
KEYS = range(0, 65536, 4099)
# Longer than a target may be without an accepted heartbeat, and than its lease.
OBSERVED_S = 4.0


async def served(fleet):
    """Return how many requests for keys are served, and by which targets."""
    answers = [await fleet.ask("/owned/", key, 2) for key in KEYS]
    targets = {answer.body.split(b" ")[0] for answer in answers if answer.status == 200}
    return sum(answer.status == 200 for answer in answers), targets


@pytest.mark.parametrize(
    "fields",
    [
        {"sequence": HUGE},
        {"sequence": 500_000},
        {"born": HUGE},
        {"later": 1},
        {"max_concurrency": HUGE},
        {"cold_s_time": 1e15},
    ],
    ids=str,
)
def test_one_odd_heartbeat_shuts_out_no_target(tmp_path, fields):
    # Guards against: one heartbeat of another writer, with an order number or a start
    # that is far ahead, makes the daemon ignore all later ones of its target.
    async def test(fleet):
        target = fleet.targets[0]
        if "later" in fields:
            fields["born"] = target.born_ms + fields.pop("later")
        assert (await served(fleet))[0] == len(KEYS)
        await write(target, odd_heartbeat(target, **fields))
        await asyncio.sleep(OBSERVED_S)
        count, targets = await served(fleet)
        assert count == len(KEYS)
        assert target.name.encode() in targets
        assert target.held_by_range

    run(test, (tmp_path, SERVICES, next(NETS)), Fleet)


LATE_S = 1.0


@pytest.mark.parametrize(
    ("name", "fields"),
    [
        ("i-other", {"address": None}),
        ("i-other", {"address": "10.0.0.9:8080"}),
        ("i-other", {"zone": "elsewhere"}),
        ("i-other", {"version": None}),
        ("i-other", {}),
        (None, {}),
    ],
    ids=str,
)
def test_one_heartbeat_ends_no_life_whose_own_is_late(tmp_path, name, fields):
    # Guards against: one heartbeat of another writer gives away keys that the target
    # beside the daemon still holds.
    async def test(fleet):
        target = fleet.targets[0]
        assert (await served(fleet))[0] == len(KEYS)
        held = dict(target.held_by_range)
        target.next_heartbeat_late_s = LATE_S
        await fleet.until(lambda: is_late(target))
        await asyncio.sleep(HEARTBEAT_S + 0.4 * LATE_S)
        later = {"born": target.born_ms + 1, "sequence": 1} | fields
        await write(target, odd_heartbeat(target, **later), name)
        await asyncio.sleep(OBSERVED_S)
        assert target.held_by_range == held
        count, targets = await served(fleet)
        assert count == len(KEYS)
        assert target.name.encode() in targets

    run(test, (tmp_path, SERVICES, next(NETS)), Fleet)


async def is_late(target):
    """Whether the target waits for longer than usual before its next heartbeat."""
    return not target.next_heartbeat_late_s


def test_entries_that_cannot_be_read_are_refused_and_change_nothing(tmp_path):
    # Guards against: an entry with deeply nested lists, or a number that is too large,
    # ends in an internal error.
    async def test(fleet):
        target = fleet.targets[0]
        for name in ("service", "state", "sequence", "cold_s_time", "born"):
            answer = await write(target, odd_heartbeat(target, **{name: NESTED_TEXT}))
            assert answer.status == 400, (name, answer)
            assert len(answer.body) < 500
        for value in (1e400, float("nan"), 10**400, -1):
            body = odd_heartbeat(target, sequence=value, born=value)
            assert (await write(target, body)).status == 400
        body = f'{{"born":{NESTED}}}'.encode()
        answer = await write(target, body, "someone-else", "leave")
        assert answer.status == 200
        await asyncio.sleep(4 * HEARTBEAT_S)
        assert (await served(fleet))[0] == len(KEYS)
        for daemon in fleet.daemons:
            assert not any(
                line.get("sentence", "").endswith("internal error")
                for line in daemon.lines
            )

    run(test, (tmp_path, SERVICES, next(NETS)), Fleet)
