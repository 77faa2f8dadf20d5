"""The control VMs of a soak run: which of them vote, and what the group still bears."""

import collections
import contextlib
import time

from soak._proxy import Direction

# Minimum time for which a lost disk counts as lost; its VM must vote again as well.
MIN_WIPE_INTERVAL_S = 8.0


class ControlGroup:
    """The control VMs of a fleet.

    Parameters
    ----------
    fleet : SoakFleet
        Its ``controls`` are the present ones.
    tolerated_losses : int
        How many of them may be lost at once.
    """

    def __init__(self, fleet, tolerated_losses):
        self._fleet = fleet
        self.tolerated_losses = tolerated_losses
        self._emptied_s_by_control = {}
        self._cuts = collections.Counter()

    # Disks.

    def may_lose(self, count):
        """Whether the group tolerates ``count`` more lost disks now."""
        now = time.monotonic()
        lost = {
            control
            for control, emptied_s in self._emptied_s_by_control.items()
            if now - emptied_s < MIN_WIPE_INTERVAL_S or not votes(control)
        }
        taken = {each for each in self._fleet.controls if self._fleet.is_taken(each)}
        return len(lost | taken) + count <= self.tolerated_losses

    def emptied(self, control, predecessor=None):
        """Record that a control VM starts with an empty disk, maybe in place of one."""
        self._emptied_s_by_control.pop(predecessor, None)
        self._emptied_s_by_control[control] = time.monotonic()

    def without_vote(self):
        """Return the names of the control VMs that don't vote, as they know it."""
        return [each.name for each in self._fleet.controls if not votes(each)]

    # Links.

    @contextlib.contextmanager
    def cut(self, pairs):
        """Lose what control VMs send to each other.

        Parameters
        ----------
        pairs : set of (str, str)
            Hosts of the sender and the receiver.
        """
        self._cuts.update(pairs)
        for proxy in self._fleet.control_proxies:
            for flow in proxy.flows:
                self.silence_if_cut(proxy, flow)
        try:
            yield
        finally:
            self._cuts.subtract(pairs)
            for proxy in self._fleet.control_proxies:
                for flow in tuple(proxy.flows):
                    if flow.silenced_directions and not self._is_cut(proxy, flow):
                        flow.reset()

    def silence_if_cut(self, proxy, flow):
        """Silence a connection to a control VM if its sender is cut off from it."""
        if self._is_cut(proxy, flow):
            flow.silenced_directions = frozenset((Direction.THERE,))

    def _is_cut(self, proxy, flow):
        return any(
            count > 0
            and receiver == proxy.address[0]
            and b"MemberHello" in flow.first_bytes
            and f"{sender}:".encode() in flow.first_bytes
            for (sender, receiver), count in self._cuts.items()
        )


def votes(control):
    """Whether a control VM has logged that it is a voter of its group."""
    name = None
    has_vote = False
    for line in control.lines:
        if line.get("sentence") == "control: started":
            name, has_vote = line["member"], False
        elif line.get("sentence") == "control: members":
            has_vote = name in line["voters"]
    return has_vote
