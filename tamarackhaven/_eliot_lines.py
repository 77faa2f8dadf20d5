"""Writes log lines with ``eliot``, to a file or to standard error.

A separate module from ``_logs``, because processes of a fleet write with
``_json_lines`` and shouldn't spend memory on a library that they don't use.
"""

import pathlib
import sys

import eliot


def write_line(part, **fields):
    """Write one line; ``part`` is the name of the component."""
    eliot.log_message(message_type=f"tamarackhaven:{part}", **fields)


def open_logs(settings, data_folder):
    """Direct all lines to the configured file, or to standard error.

    Parameters
    ----------
    settings : LogSettings
        Its ``file`` is a path below the data folder; empty for standard error.
    data_folder : str or Path
        Created if it doesn't exist and ``file`` is set.

    Returns
    -------
    callable
        Stops writing and closes the file; takes no arguments.
    """
    file = sys.stderr
    if settings.file:
        path = pathlib.Path(data_folder) / settings.file
        path.parent.mkdir(parents=True, exist_ok=True)
        file = path.open("a", encoding="utf-8")
    destination = eliot.FileDestination(file=file)
    eliot.add_destinations(destination)

    def close():
        eliot.remove_destination(destination)
        if settings.file:
            file.close()

    return close
