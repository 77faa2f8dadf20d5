"""The last announcement and report of the target beside this daemon."""

import threading

import attrs

from tamarackhaven._gate_messages import TargetReport
from tamarackhaven._model import Address
from tamarackhaven._numbers import checked_count, checked_seconds

MAX_PORT = 65535
# More requests at once than any target runs.
MAX_SLOTS = 1 << 17
MAX_COUNT = (1 << 53) - 1
# Longer than any process runs: thirty years.
MAX_AGE_S = 1e9
MAX_TEXT_LENGTH = 200


@attrs.frozen
class Announcement:
    """The message that a target sends after its start.

    Parameters
    ----------
    incarnation : str
        Identifies one start of the target; differs after each start.
    slots : int
        Number of requests that it can run at once when warm.
    address : Address
        Address at which it accepts requests.
    """

    incarnation: str
    slots: int
    address: Address


@attrs.frozen
class LinkState:
    """The state of the target at one moment.

    Parameters
    ----------
    announcement : Announcement or None
        The last announcement; None before the first.
    leaving : bool
        Whether it has begun to leave.
    report : TargetReport or None
        Its last report, with its current age in seconds.
    """

    announcement: Announcement | None
    leaving: bool
    report: TargetReport | None


class TargetLink:
    """Stores the last announcement and report of one target.

    Parameters
    ----------
    clock : Clock
        Ages are computed from its ``boot_s``.
    """

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._announcement = None
        self._leaving = False
        self._report = None
        self._reported_at = clock.boot_s()

    def is_new(self, announcement):
        """Return whether an announcement comes from a new start of the target."""
        last = self._announcement
        return last is None or last.incarnation != announcement.incarnation

    def announce(self, announcement):
        """Store an announcement; one of a new start discards the old report."""
        with self._lock:
            if self.is_new(announcement):
                self._leaving = False
                self._report = None
            self._announcement = announcement

    def report(self, report):
        """Store a report."""
        with self._lock:
            self._reported_at = self._clock.boot_s()
            self._report = report

    def leave(self):
        """Record that the target has begun to leave."""
        with self._lock:
            self._leaving = True

    def state(self):
        """Return the current ``LinkState``."""
        with self._lock:
            now = self._clock.boot_s()
            report = self._report
            if report is not None:
                age_s = report.age_s + now - self._reported_at
                report = attrs.evolve(report, age_s=age_s)
            return LinkState(self._announcement, self._leaving, report)


def parse_report(fields):
    """Return the ``TargetReport`` in a target's JSON object; its age is as of now.

    Raises
    ------
    ValueError, KeyError, TypeError, AttributeError
        If it isn't a report.
    """
    return TargetReport(
        age_s=checked_seconds("age_s", fields.get("age_s", 0.0), MAX_AGE_S),
        running=checked_count("running", fields["running"], 0, MAX_COUNT),
        slots=checked_count("slots", fields["slots"], 0, MAX_SLOTS),
        uptime_s=checked_seconds("uptime_s", fields["uptime_s"], MAX_AGE_S),
        incarnation=_text("incarnation", fields["incarnation"]),
        served=checked_count("served", fields["served"], 0, MAX_COUNT),
    )


def parse_announcement(fields):
    """Return the ``Announcement`` in a target's JSON object.

    Raises
    ------
    ValueError, KeyError, TypeError, AttributeError
        If it isn't an announcement.
    """
    address = fields["address"]
    return Announcement(
        incarnation=_text("incarnation", fields["incarnation"]),
        slots=checked_count("slots", fields["slots"], 1, MAX_SLOTS),
        address=Address(
            _text("host", address["host"]),
            checked_count("port", address["port"], 1, MAX_PORT),
        ),
    )


def _text(name, value):
    if isinstance(value, list | dict) or not 0 < len(str(value)) <= MAX_TEXT_LENGTH:
        raise ValueError(f"{name} must be a text of 1 to {MAX_TEXT_LENGTH} characters")
    return str(value)
