"""Run every test, allow only the failures listed in KNOWN-RED.txt, print a verdict."""

import re
import subprocess
import sys
import tempfile
import xml.etree.ElementTree as ElementTree
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
KNOWN_RED_LIMIT = 3
COUNTED = re.compile(r"(.+?)\s*\|")


def known_red():
    """Return the names of the tests that may fail, at most ``KNOWN_RED_LIMIT``."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    rows = [row for row in lines if row.strip() and not row.startswith("#")]
    if len(rows) > KNOWN_RED_LIMIT:
        sys.exit(f"KNOWN-RED.txt has {len(rows)} lines, {KNOWN_RED_LIMIT} allowed")
    return [COUNTED.match(row).group(1) if "|" in row else row for row in rows]


def junit_results(folder):
    """Return ``{test name: passed}`` for every JUnit file below ``folder``."""
    passed_by_name = {}
    for path in sorted(Path(folder).rglob("*.xml")):
        for case in ElementTree.parse(path).getroot().iter("testcase"):
            name = f"{case.get('classname')}.{case.get('name')}"
            bad = case.find("failure") is not None or case.find("error") is not None
            skipped = case.find("skipped") is not None
            passed_by_name[name] = not bad and not skipped
    return passed_by_name


def run(command):
    """Run ``command`` in the project folder and return its exit code."""
    return subprocess.run([sys.executable, "-m", *command], cwd=ROOT).returncode


def main():
    """Run pytest and behave; return 0 if only known-red tests failed."""
    with tempfile.TemporaryDirectory() as folder:
        unit = run(["pytest", f"--junitxml={folder}/unit.xml"])
        scenarios = 0
        if any((ROOT / "features").glob("*.feature")):
            scenarios = run(
                ["behave", "--format", "progress", "--junit"]
                + ["--junit-directory", f"{folder}/behave"]
            )
        passed_by_name = junit_results(folder)
    failed = sorted(name for name, passed in passed_by_name.items() if not passed)
    allowed = known_red()
    for name in failed:
        print(("KNOWN RED: " if name in allowed else "FAILED: ") + name)
    unexpected = [name for name in failed if name not in allowed]
    # A runner that broke without naming a test must not look like a pass.
    broken = (unit or scenarios) and not failed
    print(f"{len(passed_by_name) - len(failed)} passed, {len(unexpected)} failed")
    return 1 if unexpected or broken or not passed_by_name else 0


if __name__ == "__main__":
    sys.exit(main())
