"""First module of the zipapp: chooses where the program unpacks itself.

Files of a process live under its data folder only, so this reads ``data_folder`` from
the settings file that the command line names, before anything is unpacked.
"""

import os
import sys
import tempfile
import tomllib
from pathlib import Path

import _bootstrap

FLAGS = ("--settings", "-s")


def settings_path(arguments):
    """Return the settings file that the command line names, or None."""
    for place, argument in enumerate(arguments):
        if argument in FLAGS and place + 1 < len(arguments):
            return arguments[place + 1]
        if argument.startswith("--settings="):
            return argument.partition("=")[2]
    return None


def data_folder(path):
    """Return the data folder that the file names, or None if it can't be read."""
    try:
        with open(path, "rb") as file:
            folder = tomllib.load(file).get("data_folder")
    except (OSError, ValueError, TypeError):
        # The program itself reads the file again and says what is wrong with it.
        return None
    return folder if isinstance(folder, str) and folder else None


folder = data_folder(settings_path(sys.argv[1:]))
if folder is None:
    folder = os.path.join(tempfile.gettempdir(), f"tamarackhaven-{os.getuid()}")
os.environ["SHIV_ROOT"] = str(Path(folder) / "program")
sys.path_importer_cache.clear()
_bootstrap.bootstrap()
