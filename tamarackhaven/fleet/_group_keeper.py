"""Keeps the control group at the members it should have: joins, grows, replaces."""

import asyncio

from tamarackhaven._clock import boot_s
from tamarackhaven.errors import TamarackhavenError
from tamarackhaven.fleet import _growth
from tamarackhaven.fleet._settings import split

# Without a leader for so long, a member asks the others to be let in again.
LONELY_S = 1.0
JOIN_PAUSE_S = 0.5
# A request to join counts for some more pauses: one may be lost.
ASKED_LIFE_S = 4 * JOIN_PAUSE_S
# A membership change is one commit; longer means that the quorum is gone.
CHANGE_TIMEOUT_S = 1.0


class GroupKeeper:
    """One control VM's part in the group's membership.

    Parameters
    ----------
    settings : FleetControlSettings
        Of the process.
    wanted : int
        Voters that the group should have.
    consensus : Consensus
        The member.
    links : GroupLinks
        To the other members.
    log : Log
        Of the part ``control``.
    """

    def __init__(self, settings, wanted, consensus, links, log):
        self._settings = settings
        self._wanted = wanted
        self._consensus = consensus
        self._links = links
        self._log = log
        self._newcomer_by_name = {}
        self._started_s = boot_s()
        self._lonely_since_s = boot_s()
        self._asked_s = float("-inf")

    # A member that leads.

    def asked(self, request, now):
        """Note a ``JoinGroup`` of another control VM."""
        status = self._consensus.status()
        self._log.say(
            "asked to join",
            member=request.name,
            leads=status.leader == status.name,
            leader=status.leader,
            term=status.term,
        )
        newcomer = _growth.Newcomer(request.name, request.host, request.port)
        self._links.know(request.name, request.host, request.port)
        self._newcomer_by_name[request.name] = (newcomer, now)

    async def grow(self, status, now):
        """Carry out the membership change that is due, if any."""
        self._newcomer_by_name = {
            name: (newcomer, asked_s)
            for name, (newcomer, asked_s) in self._newcomer_by_name.items()
            if now - asked_s < ASKED_LIFE_S
        }
        due = _growth.next_step(
            status.membership,
            [newcomer for newcomer, _ in self._newcomer_by_name.values()],
            self._silent_s_by_name(status, now),
            self._wanted,
        )
        if due is None:
            return
        is_own_removal = due.step.member.name == status.name
        if due.step.action == "remove" and is_own_removal:
            return
        await self._change(due)

    def _silent_s_by_name(self, status, now):
        heard_s_by_name = self._links.heard_s_by_name
        return {
            name: 0.0
            if name == status.name
            else now - max(heard_s_by_name.get(name, 0.0), self._started_s)
            for name in status.membership.by_name
        }

    async def _change(self, due):
        step = due.step
        about = {"action": step.action, "member": step.member.name, "cause": due.cause}
        future = asyncio.wrap_future(self._consensus.change_membership(step))
        try:
            await asyncio.wait_for(future, CHANGE_TIMEOUT_S)
        except (TamarackhavenError, TimeoutError) as error:
            self._log.say("membership change waits", error=str(error), **about)
            return
        self._log.say("membership changed", **about)

    # A member that doesn't.

    def ask_to_join(self, status, now):
        """Ask all known control VMs to be let in, if this one is out of the group."""
        if status.leader:
            self._lonely_since_s = now
        is_member = status.name in status.membership.by_name
        if is_member and now - self._lonely_since_s < LONELY_S:
            return
        if now - self._asked_s < JOIN_PAUSE_S:
            return
        self._asked_s = now
        port = split(self._settings.links)[1]
        addresses = {(split(seed)[0], port) for seed in self._settings.seeds}
        addresses |= {(each.host, each.port) for each in status.membership.members}
        self._log.say(
            "asks to join",
            addresses=sorted(f"{host}:{port}" for host, port in addresses),
            is_member=is_member,
            without_leader_s=round(now - self._lonely_since_s, 3),
        )
        self._links.ask_to_join(addresses)
