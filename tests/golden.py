"""Golden files: whole sessions as text, under tests/golden."""

import os
import pathlib

FOLDER = pathlib.Path(__file__).parent / "golden"


def check(name, text):
    """Compare ``text`` with the golden file; ``UPDATE_GOLDEN=1`` rewrites it."""
    path = FOLDER / f"{name}.txt"
    if os.environ.get("UPDATE_GOLDEN") == "1":
        FOLDER.mkdir(exist_ok=True)
        path.write_text(text)
    assert text == path.read_text()
