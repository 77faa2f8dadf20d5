"""Puts the root folder on ``sys.path`` for benches that run as scripts."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
