"""The ``__main__`` module of the zipapp: selects the folder to unpack it to.

A process writes files only to its data folder, so this module reads ``data_folder``
from the settings file given on the command line before shiv unpacks the zipapp.
"""

import os
import sys
import tempfile
import tomllib
from pathlib import Path

import _bootstrap

SETTINGS_OPTIONS = ("--settings", "-s")


def settings_path(arguments):
    """Return the path of the settings file given in ``arguments``, or None."""
    for index, argument in enumerate(arguments):
        if argument in SETTINGS_OPTIONS and index + 1 < len(arguments):
            return arguments[index + 1]
        if argument.startswith("--settings="):
            return argument.partition("=")[2]
    return None


def data_folder(path):
    """Return the data folder set in a settings file, or None if it can't be read."""
    try:
        with open(path, "rb") as file:
            folder = tomllib.load(file).get("data_folder")
    except (OSError, ValueError, TypeError):
        # The program reads the file again and reports the error.
        return None
    return folder if isinstance(folder, str) and folder else None


folder = data_folder(settings_path(sys.argv[1:]))
if folder is None:
    folder = os.path.join(tempfile.gettempdir(), f"tamarackhaven-{os.getuid()}")
os.environ["SHIV_ROOT"] = str(Path(folder) / "program")
sys.path_importer_cache.clear()
_bootstrap.bootstrap()
