"""Golden files: whole sessions as text that a person can read."""

import os
import pathlib

FOLDER = pathlib.Path(__file__).parent / "golden"


def check(name, text):
    """Compare ``text`` with the golden file ``name``; UPDATE_GOLDEN=1 rewrites it."""
    path = FOLDER / f"{name}.txt"
    if os.environ.get("UPDATE_GOLDEN") == "1":
        path.parent.mkdir(exist_ok=True)
        path.write_text(text)
    assert path.read_text() == text
