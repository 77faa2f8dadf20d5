"""The adapter's modules are top-level: its folder is what ``python3 platform`` runs."""

import sys
from pathlib import Path

ADAPTER = Path(__file__).parents[2] / "platform"
sys.path.insert(0, str(ADAPTER))
