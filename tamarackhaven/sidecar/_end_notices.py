"""Tells other daemons that a target has ended, and passes on what they tell.

The control group's suspects say so to all daemons. Without a leader they stand still,
and a daemon has links only to some of the others.
"""

import asyncio
import collections

from tamarackhaven._clock import boot_s
from tamarackhaven.sidecar._messages import PEER_CODEC, TargetEnded

# With a leader, the control group's suspects include an end by then.
RECORDING_TIMEOUT_S = 0.2
MAX_REMEMBERED_LIVES = 1024


class EndNotices:
    """The notices of ends that this daemon sends, receives and passes on.

    Each daemon passes on a notice once, along all its links, unless the control group
    knows of the end. So a notice reaches each daemon that any path of links leads to.

    Parameters
    ----------
    suspects : KnownSuspects
        Counts the ends that other daemons tell of.
    view : View
        Says whether a leader answers.
    log : Log
        Log of the part ``daemon``.
    metrics : Metrics
        Metrics of the process.

    Attributes
    ----------
    send_to_all : callable
        ``send_to_all(message)`` sends a packed message along all links.
    on_received : callable
        Called when another daemon has told of an end.
    """

    def __init__(self, suspects, view, log, metrics):
        self._suspects = suspects
        self._view = view
        self._log = log
        self._metrics = metrics
        self._requests_by_life = collections.OrderedDict()
        self.send_to_all = lambda message: None
        self.on_received = lambda: None

    def announce(self, life, requests):
        """Tell the other daemons that the target beside this one has ended.

        Parameters
        ----------
        life : str
            The life that ended.
        requests : iterable of bytes
            Digests of what the requests ask for that it had.
        """
        self._send(life, self._remember(life, requests))

    def receive(self, message):
        """Apply the ``TargetEnded`` of another daemon."""
        requests = self._remember(message.life, message.requests)
        if not requests:
            return
        now = boot_s()
        self._log.say("told of an end", life=message.life, requests=len(requests))
        self._suspects.note_end(message.life, requests, now)
        self.on_received()
        wait_s = RECORDING_TIMEOUT_S if self._view.is_confirmed(now) else 0.0
        asyncio.get_running_loop().call_later(
            wait_s, self._pass_on, message.life, requests
        )

    def _remember(self, life, requests):
        """Return those of an ended life's requests that weren't known, as a tuple."""
        known = self._requests_by_life.setdefault(life, set())
        new = tuple(each for each in requests if each not in known)
        known.update(new)
        if len(self._requests_by_life) > MAX_REMEMBERED_LIVES:
            self._requests_by_life.popitem(last=False)
        return new

    def _pass_on(self, life, requests):
        told = self._suspects.told_requests(life, requests)
        if not told:
            return
        self._metrics.count("tamarackhaven_end_notices_passed_on_total")
        self._log.say(
            "end passed on",
            life=life,
            requests=len(told),
            view_age_s=self._view.configuration_stamp(boot_s()).age_s,
        )
        self._send(life, told)

    def _send(self, life, requests):
        if requests:
            self.send_to_all(PEER_CODEC.packed(TargetEnded(life, requests)))
