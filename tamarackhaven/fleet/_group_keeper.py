"""Keeps the control group at the members it should have: joins, grows, replaces."""

import asyncio

from tamarackhaven.errors import TamarackhavenError
from tamarackhaven.fleet import _growth
from tamarackhaven.fleet._joining import JOIN_PAUSE_S, Joining
from tamarackhaven.fleet._messages import GroupHint
from tamarackhaven.fleet._settings import split

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
    now : float
        Seconds of the boot clock.
    """

    def __init__(self, settings, wanted, consensus, links, log, now):
        self._settings = settings
        self._wanted = wanted
        self._consensus = consensus
        self._links = links
        self._log = log
        self._newcomer_by_address = {}
        self._started_s = now
        self._port = split(settings.links)[1]
        self._joining = Joining(split(settings.links), self._started_s)

    @property
    def addresses(self):
        """Known addresses of the other control VMs, in no order."""
        membership = self._consensus.status().membership
        return tuple(self._joining.addresses(membership, self._seeds()))

    def reload(self, settings):
        """Take the settings that may change while the process runs."""
        self._settings = settings

    def _seeds(self):
        return [(split(seed)[0], self._port) for seed in self._settings.seeds]

    # A member that is asked, and one that leads.

    def asked(self, request, now):
        """Note a ``JoinGroup`` of another control VM; return its ``GroupHint``."""
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
        address = (request.host, request.port)
        self._forget_newcomers(now)
        self._newcomer_by_address[address] = (newcomer, now)
        self._joining.heard_of((address,))
        return GroupHint(self.addresses)

    def _forget_newcomers(self, now):
        """Forget those that ask no more; they may be gone."""
        self._newcomer_by_address = {
            address: (newcomer, asked_s)
            for address, (newcomer, asked_s) in self._newcomer_by_address.items()
            if now - asked_s < ASKED_LIFE_S
        }

    async def grow(self, status, now):
        """Carry out the membership change that is due, if any."""
        self._joining.note_leader(now)
        self._forget_newcomers(now)
        due = _growth.next_step(
            status.membership,
            [newcomer for newcomer, _ in self._newcomer_by_address.values()],
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

    # One without a group.

    def heard_of(self, addresses):
        """Note where other control VMs take links."""
        self._joining.heard_of(addresses)

    def ask_to_join(self, status, now):
        """Ask all known control VMs to be let in, if this one is out of the group."""
        addresses = self._joining.to_ask(status, self._seeds(), now)
        if not addresses:
            return
        self._log.say(
            "asks to join",
            addresses=sorted(f"{host}:{port}" for host, port in addresses),
            is_member=status.name in status.membership.by_name,
            without_leader_s=round(self._joining.lonely_s(now), 3),
        )
        self._links.ask_to_join(addresses)
