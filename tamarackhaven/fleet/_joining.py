"""Which control VMs one without a group asks to be let in, and when. Pure."""

from tamarackhaven.fleet._addresses import HeardAddresses

# Without a leader for so long, a member asks the others to be let in again.
LEADERLESS_TIMEOUT_S = 1.0
JOIN_REQUEST_INTERVAL_S = 0.5


class GroupSearch:
    """A control VM's search for the group that it belongs to.

    Failure: the addresses in a newcomer's settings are those of followers, of VMs that
    are gone, or of other newcomers. Symptom: it is never made a member, and the group
    ends with the next losses. Enough: whoever is asked names all that it knows, so each
    chain of living control VMs leads to the one that leads.

    Parameters
    ----------
    own : tuple of (str, int)
        Where this VM takes links.
    now : float
        Seconds of any steady clock.
    """

    def __init__(self, own, now):
        self._own = own
        self._received_addresses = HeardAddresses()
        self._leaderless_since_s = now
        self._last_request_s = float("-inf")
        self._asked_addresses = frozenset()

    def add_addresses(self, addresses):
        """Note where other control VMs take links."""
        self._received_addresses.add(addresses)

    def addresses(self, membership, seeds):
        """Return all known addresses of other control VMs.

        Parameters
        ----------
        membership : Membership
            The newest one that this VM has; it may be long out of date.
        seeds : iterable of (str, int)
            Those of its settings.
        """
        members = {(member.host, member.port) for member in membership.members}
        return frozenset({*members, *seeds, *self._received_addresses} - {self._own})

    def addresses_to_ask(self, status, seeds, now):
        """Return the addresses to ask now; empty if this VM has its group.

        Parameters
        ----------
        status : Status
            Of the consensus member.
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
        """Note that this VM has a leader, or leads."""
        self._leaderless_since_s = now

    def leaderless_s(self, now):
        """Return for how many seconds this VM has had no leader."""
        return now - self._leaderless_since_s
