"""Writes log lines by ``eliot``, to a file or to standard error.

Apart from ``_logs``: processes of a fleet write their lines by ``_json_lines``, and a
daemon's memory is better used than for a library that it doesn't call.
"""

import pathlib
import sys

import eliot


def write_line(part, **fields):
    """Write one line of a part."""
    eliot.log_message(message_type=f"tamarackhaven:{part}", **fields)


def open_logs(settings, data_folder):
    """Send all lines to the file of the settings, or to standard error.

    Parameters
    ----------
    settings : LogSettings
        The file's name below the data folder; empty for standard error.
    data_folder : str or Path
        Made if it is not there.

    Returns
    -------
    callable
        Ends the writing and closes the file.
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
