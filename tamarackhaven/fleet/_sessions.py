"""Sessions of daemons with the leading control VM: what each has been sent. Pure."""

import collections

import attrs

from tamarackhaven.fleet._directory import MAX_REPORT_AGE_S
from tamarackhaven.fleet._feed import UpdateCache
from tamarackhaven.fleet._messages import (
    CONFIGURATION_PART,
    CONFIRMED_PARTS,
    NO_INDEX,
    SUSPECTS_PART,
    ZONES_PART,
    keys_part,
)

# Owners may change many times a second, with a hundred daemons on slow links. Without a
# limit, a new configuration would be queued for seconds behind updates that are
# outdated by then. This is about ten changes of owners in flight to a daemon; further
# changes are combined into one difference.
MAX_UNACKNOWLEDGED_BYTES = 4096


@attrs.frozen
class _Unacknowledged:
    """An update not yet acknowledged by a daemon: log index, and size in bytes."""

    index: int
    size: int


@attrs.define(eq=False)
class Session:
    """One daemon's session.

    Parameters
    ----------
    daemon : str
        Host and port of its links.
    link : Link
        To the daemon.
    update_cache : UpdateCache
        Shared by all sessions.
    known : tuple of PartVersion
        The parts of the state that the daemon has as the session begins. Nothing that
        was sent on another link may change them afterwards.
    reported_s : float
        When the newest report was received, in seconds of the boot clock.
    """

    daemon: str
    link: object
    update_cache: UpdateCache = attrs.field(factory=UpdateCache)
    known: tuple = ()
    reported_s: float = float("inf")
    _index_by_part: dict = attrs.field(init=False)
    _taken_index_by_part: dict = attrs.field(init=False)
    _replaced_versions: set = attrs.field(init=False, factory=set)
    _unacknowledged: collections.deque = attrs.field(
        init=False, factory=collections.deque
    )

    def __attrs_post_init__(self):
        self._index_by_part = {each.part: each.index for each in self.known}
        self._taken_index_by_part = dict(self._index_by_part)

    def send_updates(self, state):
        """Send the parts of ``state`` that are newer than what the daemon was sent.

        Owners are sent only if few updates of them are unacknowledged.
        """
        # A daemon that gets a configuration begins to serve callers by it.
        self._send_suspects(state)
        self._send_configuration_and_zones(state)
        if self._unacknowledged_bytes < MAX_UNACKNOWLEDGED_BYTES:
            self._send_owners(state)

    def acknowledge(self, index):
        """Record that the daemon has received all updates up to a log index."""
        while self._unacknowledged and self._unacknowledged[0].index <= index:
            self._unacknowledged.popleft()

    def record_taken(self, part, index):
        """Record that the daemon has a part as of a log index."""
        taken = self._taken_index_by_part.get(part, NO_INDEX)
        self._taken_index_by_part[part] = max(taken, index)

    def has_taken(self, index_by_part):
        """Whether the daemon has these parts as of these log indexes, or newer."""
        return all(
            self._taken_index_by_part.get(part, NO_INDEX) >= index
            for part, index in index_by_part.items()
        )

    def is_silent(self, now):
        """Whether the daemon has sent no report for too long, as if it were gone."""
        return now - self.reported_s > MAX_REPORT_AGE_S

    def resend(self, refused_parts, known):
        """Send updates for refused parts from what the daemon has, from now on.

        Parameters
        ----------
        refused_parts : tuple of str
            Parts of which the daemon has refused an update.
        known : tuple of PartVersion
            The versions of these parts that it has, others are ignored.
        """
        index_by_part = {each.part: each.index for each in known}
        for part in refused_parts:
            self._index_by_part[part] = index_by_part.get(part, NO_INDEX)

    def resend_lost(self, known):
        """Send the parts of which an update was sent and hasn't come, from now on.

        Parameters
        ----------
        known : tuple of PartVersion
            What the daemon has of all ``CONFIRMED_PARTS``.

        Returns
        -------
        list of str
            The names of these parts. An update that is still in flight counts, too: the
            daemon then ignores the second one.
        """
        index_by_part = {each.part: each.index for each in known}
        lost = [
            part
            for part in CONFIRMED_PARTS
            if index_by_part.get(part, NO_INDEX) < self._sent_index(part)
        ]
        self.resend(lost, known)
        return lost

    def replace_differing(self, known, state):
        """Send the whole parts whose content differs from ``state`` at the same index.

        A part that still differs after that is not sent again: whole configurations
        that change nothing would only fill the daemon's link.

        Parameters
        ----------
        known : tuple of PartVersion
            What the daemon has reported.
        state : FleetState
            The leader's.

        Returns
        -------
        list of PartVersion
            The daemon's versions that differ.
        """
        version_by_part = state.versions()
        differing = [
            each for each in known if _differs(each, version_by_part.get(each.part))
        ]
        for each in differing:
            if each not in self._replaced_versions:
                self._replaced_versions.add(each)
                self._index_by_part[each.part] = NO_INDEX
        return differing

    @property
    def _unacknowledged_bytes(self):
        return sum(each.size for each in self._unacknowledged)

    def _send_suspects(self, state):
        since = self._sent_index(SUSPECTS_PART)
        if state.suspects_index > since:
            self.link.send(self.update_cache.suspects(state, since))
            self._index_by_part[SUSPECTS_PART] = state.suspects_index

    def _send_configuration_and_zones(self, state):
        since = self._sent_index(CONFIGURATION_PART)
        if state.configuration_index > since:
            self.link.send(self.update_cache.configuration(state, since))
            self._index_by_part[CONFIGURATION_PART] = state.configuration_index
        if state.zones_index > self._sent_index(ZONES_PART):
            self.link.send(self.update_cache.zones(state))
            self._index_by_part[ZONES_PART] = state.zones_index

    def _send_owners(self, state):
        for service, index in state.index_by_service.items():
            part = keys_part(service)
            since = self._sent_index(part)
            if index > since:
                update = self.update_cache.keys(state, service, since)
                self.link.send(update)
                self._unacknowledged.append(_Unacknowledged(index, len(update.data)))
                self._index_by_part[part] = index

    def _sent_index(self, part):
        return self._index_by_part.get(part, NO_INDEX)


def _differs(version, other):
    """Whether two versions of a part have the same index and another content."""
    return (
        other is not None
        and version.index == other.index
        and version.digest != other.digest
    )
