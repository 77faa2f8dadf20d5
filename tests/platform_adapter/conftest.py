"""Puts the adapter's folder on the module path, as ``python3 platform`` does."""

import sys
from pathlib import Path

ADAPTER = Path(__file__).parents[2] / "platform"
sys.path.insert(0, str(ADAPTER))
