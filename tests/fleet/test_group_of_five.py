"""Real processes: five control VMs of which two may be lost at once."""

import asyncio
import itertools
import signal
import time

from soak._proxy import Direction
from tests.fleet import real_fleet

NETWORK_NUMBERS = itertools.count(66)
CONTROLS = 5
TOLERATED_LOSSES = 2
# Longer than the time after which a leader takes a control VM for lost.
SILENCE_S = 2.5
# How long what the leader sends a newcomer is under way. The newcomer is heard once it
# has refused the first entries, and holds the log only after one round more.
SLOW_LINK_S = 0.8
RECOVERY_TIMEOUT_S = 15.0


def run(test, tmp_path):
    settings = (
        tmp_path,
        ("owned", "shared"),
        next(NETWORK_NUMBERS),
        CONTROLS,
        TOLERATED_LOSSES,
    )
    real_fleet.run(test, settings, real_fleet.ProxiedFleet)


def delay_entries(flow):
    flow.delay_s_by_direction[Direction.THERE] = SLOW_LINK_S


def has_changed(control, action, host):
    """Whether a control VM has logged that it added or removed the member at a host."""
    return any(
        line.get("sentence") == "control: membership changed"
        and line["action"] == action
        and line["member"].startswith(f"{host}:")
        for line in control.lines
    )


async def wait_for(condition, timeout_s):
    """Wait until a condition holds, or a time has passed."""
    deadline_s = time.monotonic() + timeout_s
    while not condition() and time.monotonic() < deadline_s:
        await asyncio.sleep(0.01)


def test_a_group_survives_two_lost_disks_while_a_newcomer_lags_and_a_voter_is_cut_off(
    tmp_path,
):
    # Guards against a voter that is only cut off being removed before a newcomer can
    # vote in its place.
    async def test(fleet):
        leader = await fleet.leader()
        cut, gone, *_ = [n for n in range(CONTROLS) if n != leader]
        leading, cut_off = fleet.controls[leader], fleet.controls[cut]
        cut_off.send(signal.SIGSTOP)
        await asyncio.sleep(SILENCE_S)
        seeds = [fleet.control_hosts[leader]]
        proxy = await fleet.replace_with_proxy(gone, seeds, delay_entries)
        newcomer = fleet.control_hosts[gone]
        await wait_for(lambda: has_changed(leading, "add", newcomer), 5.0)
        # Whether it's removed or not, the second disk is lost now.
        await wait_for(
            lambda: has_changed(leading, "remove", cut_off.name), 2 * SLOW_LINK_S
        )
        survivors = [n for n in range(CONTROLS) if n not in (leader, gone)]
        await fleet.replace_with_proxy(leader, [fleet.control_hosts[survivors[0]]])
        cut_off.send(signal.SIGCONT)
        proxy.on_flow = lambda flow: None
        proxy.reset()
        answer = await fleet.order("/api/config/read", timeout_s=RECOVERY_TIMEOUT_S)
        assert b'"version":"r1"' in answer.body

    run(test, tmp_path)
