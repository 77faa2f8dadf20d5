"""The targets that leaders have told a daemon of. Pure."""

from tamarackhaven.fleet._model import SILENT_TARGET_TTL_S


class KnownTargets:
    """Targets by life, over changes of the leader.

    A new leader learns of targets one by one, by reports, so that its first view lacks
    some that run; what it doesn't list is kept for a while. A target that ends while
    there is no leader is one that no later leader knows, and so none says that it's
    gone.

    Attributes
    ----------
    by_life : dict
        Each known ``Target`` by its life.
    """

    def __init__(self):
        self.by_life = {}
        self._by_service = {}
        self._life_by_address = {}
        self._term = 0
        self._unlisted_since_s_by_life = {}

    def apply_view(self, view, now):
        """Apply a ``TargetsView``; return False if it's of a deposed leader.

        ``now`` is in seconds of the boot clock.
        """
        if view.term < self._term:
            return False
        self._term = view.term
        for life in view.gone:
            self._remove(life)
        for target in view.targets:
            self._add(target)
        if view.is_whole:
            self._note_unlisted({target.life for target in view.targets}, now)
        self._index()
        return True

    def drop_unlisted(self, now):
        """Remove targets that no leader has listed for too long; return their lives.

        A target that runs is listed again after a report of its daemon. ``now`` is in
        seconds of the boot clock.
        """
        dropped = [
            life
            for life, since_s in self._unlisted_since_s_by_life.items()
            if now - since_s > SILENT_TARGET_TTL_S
        ]
        for life in dropped:
            self._remove(life)
        if dropped:
            self._index()
        return dropped

    def of_service(self, service):
        """Return the targets of a service."""
        return self._by_service.get(service, ())

    def _add(self, target):
        # A VM runs one target at a time.
        address = target.host, target.port
        former = self.by_life.get(self._life_by_address.get(address))
        if former is not None and former.born_ms > target.born_ms:
            return
        if former is not None and former.born_ms < target.born_ms:
            self._remove(former.life)
        self._life_by_address[address] = target.life
        # A new leader may not know yet that a target leaves.
        known = self.by_life.get(target.life)
        self.by_life[target.life] = target.with_known_leaving(known)
        self._unlisted_since_s_by_life.pop(target.life, None)

    def _remove(self, life):
        target = self.by_life.pop(life, None)
        if target is not None:
            address = target.host, target.port
            if self._life_by_address.get(address) == life:
                del self._life_by_address[address]
        self._unlisted_since_s_by_life.pop(life, None)

    def _note_unlisted(self, listed_lives, now):
        for life in self.by_life.keys() - listed_lives:
            self._unlisted_since_s_by_life.setdefault(life, now)

    def _index(self):
        self._by_service = {}
        for target in self.by_life.values():
            self._by_service.setdefault(target.service, []).append(target)
