"""How long a leader hasn't heard the members of its group. Pure."""

# After a pause of the leader itself the messages of all members are yet to be read.
MAX_CHECK_INTERVAL_S = 0.5


class MemberSilence:
    """Measures the silence of members, from when the leader began to listen to them.

    Followers don't hear each other. If silence counted from the last message ever
    received, a new leader would take voters for lost that it hasn't heard yet.
    """

    def __init__(self):
        self._term = None
        self._checked_s = float("-inf")
        self._since_s_by_name = {}

    def silent_s_by_name(self, status, last_received_s_by_name, now):
        """Return the seconds of silence of each member; 0 for the leader itself.

        Parameters
        ----------
        status : Status
            Of the leader's consensus member.
        last_received_s_by_name : dict of str to float
            When the last message of a member was received.
        now : float
            Seconds of the same clock.
        """
        self._listen(status, now)
        return {
            name: 0.0
            if name == status.name
            else now - max(last_received_s_by_name.get(name, since_s), since_s)
            for name, since_s in self._since_s_by_name.items()
        }

    def _listen(self, status, now):
        is_new_term = status.term != self._term
        if is_new_term or now - self._checked_s > MAX_CHECK_INTERVAL_S:
            self._since_s_by_name = {}
        self._term = status.term
        self._checked_s = now
        former = self._since_s_by_name
        self._since_s_by_name = {
            name: former.get(name, now) for name in status.membership.by_name
        }
