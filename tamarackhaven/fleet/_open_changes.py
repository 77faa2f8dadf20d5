"""Changes of owners that a leader proposed and the log has not decided on. Pure."""

import bisect

import attrs

from tamarackhaven.fleet._ranges import overlaps


class OpenChanges:
    """At most one ``AssignKeys`` of each service."""

    def __init__(self):
        self._command_by_service = {}

    def __len__(self):
        return len(self._command_by_service)

    def add(self, command):
        """Note a change that is proposed now."""
        self._command_by_service[command.service] = command

    def not_taken(self, command):
        """Note that a change never came into the log, or was void."""
        if self._command_by_service.get(command.service) is command:
            del self._command_by_service[command.service]

    def has(self, service, ranges):
        """Whether a change of a service is open, as far as its ``ranges`` show."""
        command = self._command_by_service.get(service)
        if command is None:
            return False
        if _are_current(command.expected, ranges):
            return True
        del self._command_by_service[service]
        return False

    def without(self, owned, service, ranges):
        """Return ``owned`` less the keys that an open change gives to somebody else.

        Failure: an owner's lease is over, its keys are proposed for another one, and
        its daemon comes back before that is committed. Symptom: it is granted the keys
        once more, and then so is the new owner. Enough: what was proposed is not
        granted until the log has decided on it.
        """
        if not self.has(service, ranges):
            return owned
        for piece in self._command_by_service[service].ranges:
            owned = tuple(part for whole in owned for part in subtract(whole, piece))
        return owned


def subtract(whole, piece):
    """Return what is left of ``whole`` without ``piece``, as a list."""
    if not overlaps(whole, piece):
        return [whole]
    left = []
    if whole.first < piece.first:
        left.append(attrs.evolve(whole, last=piece.first - 1))
    if piece.last < whole.last:
        left.append(attrs.evolve(whole, first=piece.last + 1))
    return left


def _are_current(expected, ranges):
    """Whether all of ``expected`` are among ``ranges``, which are in order."""
    return all(_find(ranges, each.first) == each for each in expected)


def _find(ranges, key):
    return ranges[bisect.bisect_right(ranges, key, key=_first_key) - 1]


def _first_key(key_range):
    return key_range.first
