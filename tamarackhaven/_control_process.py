"""Starts a control VM, and refuses to start one that has lost its folder."""

from pathlib import Path

from tamarackhaven._control import Control
from tamarackhaven._control_client import ControlClient
from tamarackhaven._eliot_lines import open_logs
from tamarackhaven._logs import Log
from tamarackhaven._storage import Storage
from tamarackhaven.errors import ErrorKind, TamarackhavenError

JOIN_TIMEOUT_S = 10.0


def run_control(settings, first_start, stop):
    """Run until ``stop`` (a ``threading.Event``) is set or the member can't go on.

    Raises
    ------
    TamarackhavenError
        What stopped it, such as LOG_DAMAGED or MEMBER_UNKNOWN.
    """
    folder = Path(settings.data_folder)
    folder.mkdir(parents=True, exist_ok=True)
    open_logs(settings.logs, folder)
    log = Log("control", settings.logs.repeats_per_minute)
    _check_first_start(settings, folder, first_start)
    fatal = []

    def on_fatal(error):
        fatal.append(error)
        stop.set()

    control = Control(settings, log, on_fatal)
    try:
        control.start()
        stop.wait()
    finally:
        # Failure: a port is taken, or a sync failed. Symptom: the threads for leases
        # and calls keep the process alive, and a member that can't go on still renews
        # leases. Enough: they end here, whatever the error was; after a failed sync
        # the log is closed already, so nothing more is written.
        control.stop()
    if fatal:
        log.say("stopped by a fault", error=str(fatal[0]))
        raise fatal[0]


def _check_first_start(settings, folder, first_start):
    """Refuse an empty folder that nobody asked for.

    Failure: a disk is lost or a folder removed, and the member starts again under its
    name. Symptom: it votes a second time in a term, or grants what it had promised to
    refuse, and an acknowledged assignment is gone. An explicit word at the first
    start, and a new name for a member that joins, are enough: a name that has ever
    voted never comes back with an empty folder.
    """
    storage = Storage.open(folder)
    is_new = storage.is_new
    storage.close()
    if not is_new or first_start:
        return
    if not settings.join:
        raise TamarackhavenError(
            ErrorKind.MEMBER_UNKNOWN,
            f"{folder} holds no log. Start a new group with --first-start, or add "
            "this VM under a new name with join = true.",
        )
    others = [m for m in settings.members if m.name != settings.name]
    client = ControlClient(others)
    try:
        feed = client.fetch(0, JOIN_TIMEOUT_S, linearizable=True)
        membership = next(iter(feed.events))
    finally:
        client.close()
    if settings.name in membership.membership.by_name:
        raise TamarackhavenError(
            ErrorKind.MEMBER_UNKNOWN,
            f"The group has a member {settings.name!r} already; take a new name.",
        )
