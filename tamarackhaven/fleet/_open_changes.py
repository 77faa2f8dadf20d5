"""Tracks proposed changes of owners whose outcome isn't known yet. Pure."""

import bisect

import attrs

from tamarackhaven.fleet._ranges import overlaps


class OpenChanges:
    """The open ``AssignKeys`` of each service, at most one."""

    def __init__(self):
        self._command_by_service = {}

    def __len__(self):
        return len(self._command_by_service)

    def add(self, command):
        """Add a change that is being proposed."""
        self._command_by_service[command.service] = command

    def discard(self, command):
        """Remove a change that wasn't committed, or was void."""
        if self._command_by_service.get(command.service) is command:
            del self._command_by_service[command.service]

    def has(self, service, ranges):
        """Whether a service has an open change; removes one that is outdated.

        It's outdated once ``ranges`` no longer contain those that it expects.
        """
        command = self._command_by_service.get(service)
        if command is None:
            return False
        if _are_current(command.expected, ranges):
            return True
        del self._command_by_service[service]
        return False

    def without(self, owned, service, ranges):
        """Return ``owned`` without the keys that an open change reassigns.

        An owner's lease may expire and its keys be proposed for another owner, and its
        daemon report again before that is committed. If the keys were granted to it
        once more, both would hold them. So they're granted to neither until the
        outcome of the change is known.
        """
        if not self.has(service, ranges):
            return owned
        for piece in self._command_by_service[service].ranges:
            owned = tuple(part for whole in owned for part in subtract(whole, piece))
        return owned


def subtract(whole, piece):
    """Return the parts of ``whole`` outside ``piece``, as a list."""
    if not overlaps(whole, piece):
        return [whole]
    left = []
    if whole.first < piece.first:
        left.append(attrs.evolve(whole, last=piece.first - 1))
    if piece.last < whole.last:
        left.append(attrs.evolve(whole, first=piece.last + 1))
    return left


def _are_current(expected, ranges):
    """Whether all of ``expected`` are in ``ranges``, which are in order."""
    return all(_find(ranges, each.first) == each for each in expected)


def _find(ranges, key):
    return ranges[bisect.bisect_right(ranges, key, key=_first_key) - 1]


def _first_key(key_range):
    return key_range.first
