"""Follower side of replication: entries and snapshots from the leader of the term."""

from tamarackhaven._raft_messages import (
    AppendReply,
    InstallSnapshotReply,
    Snapshot,
    WriteEntries,
    WriteSnapshot,
)


def on_append(core, message):
    """Append entries if the log matches at their predecessor; reply in any case."""
    if message.last_index < core.commit:
        new_entries = _entries_after(message.entries, core.commit)
    elif core.log.term_at(message.last_index) != message.last_term:
        conflict_hint = core.log.conflict_hint(message.last_index, core.commit)
        _reply_append(core, message, False, conflict_hint)
        return
    else:
        new_entries = message.entries
    _append_entries(core, new_entries)
    match_index = max(message.last_index + len(message.entries), core.commit)
    _reply_append(core, message, True, match_index)
    core.commit_to(min(message.commit, match_index))


def _entries_after(entries, index):
    """Return the entries after ``index``; earlier ones are committed and identical."""
    return tuple(entry for entry in entries if entry.index > index)


def _append_entries(core, entries):
    appended = core.log.merge(entries, core.commit)
    if not appended:
        return
    core.synced_index = min(core.synced_index, appended[0].index - 1)
    core.outbox.writes.append(WriteEntries(appended))


def _reply_append(core, message, accepted, match_index):
    core.send(
        AppendReply(
            sender=core.name,
            receiver=message.sender,
            term=core.term,
            accepted=accepted,
            match_index=match_index,
            round=message.round,
        )
    )


class SnapshotReceiver:
    """Assembles a snapshot from its chunks."""

    def __init__(self):
        self._key = None
        self._data = bytearray()

    def on_install_snapshot(self, core, message):
        """Store one chunk; install the snapshot once it is complete."""
        if message.last_index <= core.commit:
            self._reply(core, message, match_index=core.commit)
            return
        self._add_chunk(message)
        is_whole = message.done and message.offset + len(message.chunk) == len(
            self._data
        )
        if not is_whole:
            self._reply(core, message, match_index=0)
            return
        self._install(core, message)
        self._reply(core, message, match_index=message.last_index)

    def _add_chunk(self, message):
        key = (message.sender, message.term, message.last_index, message.last_term)
        if key != self._key:
            self._key = key
            self._data = bytearray()
        if message.offset == len(self._data):
            self._data += message.chunk

    def _install(self, core, message):
        snapshot = Snapshot(
            index=message.last_index,
            term=message.last_term,
            membership=message.membership,
            data=bytes(self._data),
        )
        core.log.restore(snapshot)
        core.commit = snapshot.index
        core.synced_index = min(core.synced_index, core.log.last_index)
        core.outbox.writes.append(WriteSnapshot(snapshot))
        core.outbox.restored = snapshot
        self._key = None

    def _reply(self, core, message, match_index):
        core.send(
            InstallSnapshotReply(
                sender=core.name,
                receiver=message.sender,
                term=core.term,
                offset=len(self._data),
                match_index=match_index,
                round=message.round,
            )
        )
