"""What the target beside this daemon last said of itself, with its age."""

import threading

import attrs

from tamarackhaven._gate_messages import TargetReport
from tamarackhaven._model import Address


@attrs.frozen
class Announcement:
    """A target's first word after its start.

    Parameters
    ----------
    incarnation : str
        Differs after each start.
    slots : int
        Requests that it can run at once when warm.
    address : Address
        Where it takes requests.
    """

    incarnation: str
    slots: int
    address: Address


@attrs.frozen
class LinkState:
    """What is known of the target at one moment.

    Parameters
    ----------
    announcement : Announcement or None
        None before the first.
    leaving : bool
        It has begun to leave.
    report : TargetReport or None
        Its last report, with its present age.
    """

    announcement: Announcement | None
    leaving: bool
    report: TargetReport | None


class TargetLink:
    """Keeps the last words of one target.

    Parameters
    ----------
    clock : Clock
        Ages are counted in ``boot_s``.
    """

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._announcement = None
        self._leaving = False
        self._report = None
        self._report_s = clock.boot_s()

    def is_new(self, announcement):
        """Return whether an announcement is of another start than the last one."""
        last = self._announcement
        return last is None or last.incarnation != announcement.incarnation

    def announce(self, announcement):
        """Take in an announcement."""
        with self._lock:
            if self.is_new(announcement):
                self._leaving = False
                self._report = None
            self._announcement = announcement

    def report(self, report):
        """Take in a report."""
        with self._lock:
            self._report_s = self._clock.boot_s()
            self._report = report

    def leave(self):
        """Note that the target has begun to leave."""
        with self._lock:
            self._leaving = True

    def state(self):
        """Return what is known now."""
        with self._lock:
            now = self._clock.boot_s()
            report = self._report
            if report is not None:
                age_s = report.age_s + now - self._report_s
                report = attrs.evolve(report, age_s=age_s)
            return LinkState(self._announcement, self._leaving, report)


def report_from(plain):
    """Return a report from the JSON object of a target, its age counted from now."""
    return TargetReport(
        age_s=float(plain.get("age_s", 0.0)),
        running=int(plain["running"]),
        slots=int(plain["slots"]),
        uptime_s=float(plain["uptime_s"]),
        incarnation=str(plain["incarnation"]),
        served=int(plain["served"]),
    )


def announcement_from(plain):
    """Return an announcement from the JSON object of a target."""
    address = plain["address"]
    return Announcement(
        incarnation=str(plain["incarnation"]),
        slots=int(plain["slots"]),
        address=Address(str(address["host"]), int(address["port"])),
    )
