"""Builds dist/tamarackhaven, a zipapp that contains all dependencies."""

import shutil
import subprocess
import sys
import tempfile
import zipfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
OUTPUT = ROOT / "dist" / "tamarackhaven"


def main():
    """Install the pinned packages and tamarackhaven into a folder; zip it by shiv."""
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
        shiv_zipapp = Path(site).parent / f"{Path(site).name}.pyz"
        subprocess.run([*shiv, "--output-file", shiv_zipapp], check=True)
        write_with_main(shiv_zipapp)
        shiv_zipapp.unlink()


def write_with_main(shiv_zipapp):
    """Copy the zipapp to ``OUTPUT`` with ``zipapp_main.py`` as its ``__main__.py``."""
    partial = OUTPUT.with_suffix(".partial")
    with open(partial, "wb") as file:
        file.write(b"#!/usr/bin/env python3\n")
        with (
            zipfile.ZipFile(shiv_zipapp) as source,
            zipfile.ZipFile(file, "a", zipfile.ZIP_DEFLATED) as target,
        ):
            for item in source.infolist():
                data = source.read(item)
                if item.filename == "__main__.py":
                    data = (ROOT / "scripts" / "zipapp_main.py").read_bytes()
                target.writestr(item, data)
    partial.chmod(0o755)
    partial.replace(OUTPUT)


if __name__ == "__main__":
    main()
