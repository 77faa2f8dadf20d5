"""Which control VMs one without a group asks to be let in, and when. Pure."""

from tamarackhaven.fleet._addresses import HeardAddresses

# Without a leader for so long, a member asks the others to be let in again.
LONELY_S = 1.0
JOIN_PAUSE_S = 0.5


class Joining:
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
        self._heard_of = HeardAddresses()
        self._lonely_since_s = now
        self._asked_s = float("-inf")
        self._asked = frozenset()

    def heard_of(self, addresses):
        """Note where other control VMs take links."""
        self._heard_of.add(addresses)

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
        return frozenset({*members, *seeds, *self._heard_of} - {self._own})

    def to_ask(self, status, seeds, now):
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
            self.note_leader(now)
        is_member = status.name in status.membership.by_name
        if is_member and self.lonely_s(now) < LONELY_S:
            return frozenset()
        addresses = self.addresses(status.membership, seeds)
        if now - self._asked_s >= JOIN_PAUSE_S:
            self._asked_s = now
            self._asked = addresses
            return addresses
        new = addresses - self._asked
        self._asked |= new
        return new

    def note_leader(self, now):
        """Note that this VM has a leader, or leads."""
        self._lonely_since_s = now

    def lonely_s(self, now):
        """Return for how many seconds this VM has had no leader."""
        return now - self._lonely_since_s
