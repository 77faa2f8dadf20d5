"""Build dist/tamarackhaven, one zipapp with all dependencies."""

import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
OUTPUT = ROOT / "dist" / "tamarackhaven"


def main():
    """Install the pinned packages and this one into a folder; shiv zips it."""
    OUTPUT.parent.mkdir(exist_ok=True)
    with tempfile.TemporaryDirectory() as site:
        pip = [sys.executable, "-m", "pip", "install", "--quiet", "--no-deps"]
        pip += ["--disable-pip-version-check", "--target", site]
        subprocess.run([*pip, "-r", ROOT / "requirements.txt"], check=True)
        shutil.copytree(
            ROOT / "tamarackhaven",
            Path(site) / "tamarackhaven",
            ignore=shutil.ignore_patterns("__pycache__"),
        )
        shiv = [sys.executable, "-m", "shiv", "--site-packages", site]
        shiv += ["--entry-point", "tamarackhaven.__main__:main"]
        shiv += ["--python", "/usr/bin/env python3", "--reproducible"]
        subprocess.run([*shiv, "--output-file", OUTPUT], check=True)


if __name__ == "__main__":
    main()
