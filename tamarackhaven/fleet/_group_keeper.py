"""Joins a control group, and adds, promotes and removes its members."""

import asyncio

from tamarackhaven._raft import Role
from tamarackhaven.errors import TamarackhavenError
from tamarackhaven.fleet import _growth
from tamarackhaven.fleet._addresses import is_address
from tamarackhaven.fleet._joining import JOIN_REQUEST_INTERVAL_S, GroupSearch
from tamarackhaven.fleet._member_silence import MemberSilence
from tamarackhaven.fleet._messages import GroupHint
from tamarackhaven.fleet._settings import split

# A request to join stays valid for several request intervals, as one may be lost.
JOIN_REQUEST_TTL_S = 4 * JOIN_REQUEST_INTERVAL_S
# A membership change is a single commit; one that takes longer has lost its quorum.
MEMBERSHIP_CHANGE_TIMEOUT_S = 1.0
# The replacement of all voters that may be lost at once takes fewer.
MAX_CHANGES_IN_ONE_GO = 12
# The status is set at the end of the batch of inputs that committed the change.
STATUS_POLL_INTERVAL_S = 0.002
STATUS_POLLS = 10


class MembershipManager:
    """Requests membership for one control VM, and as leader changes the membership.

    Parameters
    ----------
    settings : FleetControlSettings
        Of the process.
    required_voters : int
        Voters that the group should have.
    consensus : Consensus
        This VM's member.
    links : GroupLinks
        To the other control VMs.
    log : Log
        Of the part ``control``.
    now : float
        Seconds of the boot clock.
    """

    def __init__(self, settings, required_voters, consensus, links, log, now):
        self._settings = settings
        self._required_voters = required_voters
        self._consensus = consensus
        self._links = links
        self._log = log
        self._request_by_address = {}
        self._port = split(settings.links)[1]
        self._search = GroupSearch(split(settings.links), now)
        self._silence = MemberSilence()

    @property
    def addresses(self):
        """Known link addresses of the other control VMs, in no order."""
        membership = self._consensus.status().membership
        return tuple(self._search.addresses(membership, self._seeds()))

    def reload(self, settings):
        """Apply the settings that may change at run time."""
        self._settings = settings

    def _seeds(self):
        return [(split(seed)[0], self._port) for seed in self._settings.seeds]

    # As a member or the leader.

    def handle_join_request(self, request, now):
        """Record a ``JoinGroup`` of another control VM; return its ``GroupHint``."""
        status = self._consensus.status()
        self._log.say(
            "asked to join",
            member=request.name,
            leads=status.leader == status.name,
            leader=status.leader,
            term=status.term,
        )
        if not is_address(request.host, request.port):
            return GroupHint(self.addresses)
        newcomer = _growth.Newcomer(request.name, request.host, request.port)
        self._links.set_address(request.name, request.host, request.port)
        address = (request.host, request.port)
        self._remove_expired_newcomers(now)
        self._request_by_address[address] = (newcomer, now)
        self._search.add_addresses((address,))
        return GroupHint(self.addresses)

    def _remove_expired_newcomers(self, now):
        """Remove those whose last request is older than ``JOIN_REQUEST_TTL_S``."""
        self._request_by_address = {
            address: (newcomer, requested_s)
            for address, (newcomer, requested_s) in self._request_by_address.items()
            if now - requested_s < JOIN_REQUEST_TTL_S
        }

    async def make_due_changes(self, now):
        """Make the membership changes that are due; for the leader only.

        A replacement is finished in one go: meanwhile each commit needs a majority of
        the voters before it and of those after it.
        """
        self._search.record_leader(now)
        self._remove_expired_newcomers(now)
        for _ in range(MAX_CHANGES_IN_ONE_GO):
            status = self._consensus.status()
            due = _growth.next_change(self._view(status, now))
            if due is None or not await self._make_change(due):
                return
            if not await self._has_changed(status):
                return

    async def _has_changed(self, status):
        """Whether the consensus member's status soon shows another membership."""
        for _ in range(STATUS_POLLS):
            if self._consensus.status().membership != status.membership:
                return True
            await asyncio.sleep(STATUS_POLL_INTERVAL_S)
        return False

    def _view(self, status, now):
        return _growth.GroupView(
            status.membership,
            tuple(newcomer for newcomer, _ in self._request_by_address.values()),
            self._silence.silent_s_by_name(
                status, self._links.last_received_s_by_name, now
            ),
            status.caught_up,
            self._required_voters,
        )

    def silent_voters(self, status, now):
        """Return the names of the voters that this VM, as the leader, doesn't hear."""
        if status.role is not Role.LEADER:
            return ()
        view = self._view(status, now)
        return tuple(sorted([*view.lost_voters, *view.silent_voters]))

    async def _make_change(self, due):
        """Make one change; return whether it was committed in time."""
        step = due.step
        log_fields = {
            "action": step.action,
            "member": step.member.name,
            "replaced": step.replaced,
            "cause": due.cause,
        }
        future = asyncio.wrap_future(self._consensus.change_membership(step))
        try:
            await asyncio.wait_for(future, MEMBERSHIP_CHANGE_TIMEOUT_S)
        except (TamarackhavenError, TimeoutError) as error:
            self._log.say(
                "membership change not confirmed", error=str(error), **log_fields
            )
            return False
        self._log.say("membership changed", **log_fields)
        return True

    # Outside the group.

    def add_addresses(self, addresses):
        """Add link addresses of other control VMs, pairs of host and port."""
        self._search.add_addresses(addresses)

    def ask_to_join(self, status, now):
        """Ask all known control VMs for membership, if this one has no group."""
        addresses = self._search.addresses_to_ask(status, self._seeds(), now)
        if not addresses:
            return
        self._log.say(
            "asks to join",
            addresses=sorted(f"{host}:{port}" for host, port in addresses),
            is_member=status.name in status.membership.by_name,
            without_leader_s=round(self._search.leaderless_s(now), 3),
        )
        self._links.ask_to_join(addresses)
