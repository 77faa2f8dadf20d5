"""Starts a control VM, unless it has lost its data folder."""

from pathlib import Path

from tamarackhaven._control import Control
from tamarackhaven._control_client import ControlClient
from tamarackhaven._eliot_lines import open_logs
from tamarackhaven._logs import Log
from tamarackhaven._storage import Storage
from tamarackhaven.errors import ErrorKind, TamarackhavenError

JOIN_TIMEOUT_S = 10.0


def run_control(settings, first_start, stop):
    """Run until ``stop`` (a ``threading.Event``) is set or a fatal error occurs.

    Raises
    ------
    TamarackhavenError
        The fatal error, such as LOG_DAMAGED or MEMBER_UNKNOWN.
    """
    folder = Path(settings.data_folder)
    folder.mkdir(parents=True, exist_ok=True)
    open_logs(settings.logs, folder)
    log = Log("control", settings.logs.repeats_per_minute)
    _check_first_start(settings, folder, first_start)
    fatal_errors = []

    def on_fatal(error):
        fatal_errors.append(error)
        stop.set()

    control = Control(settings, log, on_fatal)
    try:
        control.start()
        stop.wait()
    finally:
        # After any error, such as a taken port or a failed sync, the lease and gRPC
        # threads would keep the process alive, and a failed member would still renew
        # leases. After a failed sync the log is already closed, so ``stop`` writes
        # nothing more.
        control.stop()
    if fatal_errors:
        log.say("stopped after a fatal error", error=str(fatal_errors[0]))
        raise fatal_errors[0]


def _check_first_start(settings, folder, first_start):
    """Refuse to start with an empty folder unless this is an explicit first start.

    If a disk is lost or a folder removed and the member starts again under its name, it
    could vote a second time in a term or grant what it had promised to refuse, and an
    acknowledged assignment would be lost. The flag at the first start and a new name
    for each member that joins ensure that a name that has ever voted never returns with
    an empty folder.

    Raises
    ------
    TamarackhavenError
        MEMBER_UNKNOWN if the folder is empty and this is neither a first start nor a
        join under a new name; CONTROL_UNREACHABLE if no member answers a join.
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
            f"The group already has a member {settings.name!r}; use a new name.",
        )
