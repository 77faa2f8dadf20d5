"""Golden files: expected transcripts of whole sessions, as reviewable text."""

import os
import pathlib

GOLDEN_FOLDER = pathlib.Path(__file__).parent / "golden"


def check(name, text):
    """Compare ``text`` with the golden file, or rewrite it if UPDATE_GOLDEN is set."""
    path = GOLDEN_FOLDER / f"{name}.txt"
    if os.environ.get("UPDATE_GOLDEN"):
        GOLDEN_FOLDER.mkdir(exist_ok=True)
        path.write_text(text)
    assert text == path.read_text(), (
        f"{path.name} differs; set UPDATE_GOLDEN to rewrite it"
    )
