"""Decides which control VMs to ask for membership in the group, and when. Pure."""

from tamarackhaven.fleet._addresses import KnownAddresses

# A member without a leader for this long asks the others for membership again.
LEADERLESS_TIMEOUT_S = 1.0
JOIN_REQUEST_INTERVAL_S = 0.5


class GroupSearch:
    """A control VM's search for the leader of its group.

    A newcomer's seeds may be followers, VMs that are gone, or other newcomers. If it
    asked only them, it might never become a member, and the next losses could leave the
    group without a quorum. So each VM that is asked answers with all addresses that it
    knows, and each chain of running control VMs leads to the leader.

    Parameters
    ----------
    own : tuple of (str, int)
        This VM's link address.
    now : float
        Seconds of any monotonic clock.
    """

    def __init__(self, own, now):
        self._own = own
        self._received_addresses = KnownAddresses()
        self._leaderless_since_s = now
        self._last_request_s = float("-inf")
        self._asked_addresses = frozenset()

    def add_addresses(self, addresses):
        """Add link addresses of other control VMs, pairs of host and port."""
        self._received_addresses.add(addresses)

    def addresses(self, membership, seeds):
        """Return all known addresses of other control VMs.

        Parameters
        ----------
        membership : Membership
            The newest one that this VM has; it may be outdated.
        seeds : iterable of (str, int)
            From its settings.
        """
        members = {(member.host, member.port) for member in membership.members}
        return frozenset({*members, *seeds, *self._received_addresses} - {self._own})

    def addresses_to_ask(self, status, seeds, now):
        """Return the addresses to ask now.

        None are asked while this VM is a member and had a leader within
        LEADERLESS_TIMEOUT_S.

        Parameters
        ----------
        status : Status
            Of this VM's consensus member.
        seeds : iterable of (str, int)
            As for ``addresses``.
        now : float
            As for the constructor.
        """
        if status.leader:
            self.record_leader(now)
        is_member = status.name in status.membership.by_name
        if is_member and self.leaderless_s(now) < LEADERLESS_TIMEOUT_S:
            return frozenset()
        addresses = self.addresses(status.membership, seeds)
        if now - self._last_request_s >= JOIN_REQUEST_INTERVAL_S:
            self._last_request_s = now
            self._asked_addresses = addresses
            return addresses
        new = addresses - self._asked_addresses
        self._asked_addresses |= new
        return new

    def record_leader(self, now):
        """Record that this VM has a leader, or leads."""
        self._leaderless_since_s = now

    def leaderless_s(self, now):
        """Return the seconds that this VM has been without a leader."""
        return now - self._leaderless_since_s
