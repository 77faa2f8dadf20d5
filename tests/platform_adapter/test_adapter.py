"""Tests that the platform adapter is separate from the rest of the code.

Its folder must not shadow a module of the standard library, and the names that the
platform uses must not occur in the product's own modules.
"""

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]
PLATFORM_NAMES = re.compile(
    r"active_holds|weighted_services|virtual_hosts|heartbeat_addr|path_routes|"
    r"[Tt]amarackhaven-(Attempt|Shard-Key|Expected|Not-Exec|Response-S|Instance)|"
    r"TAMARACKHAVEN_BOOT"
)


def test_standard_platform_module_is_not_shadowed():
    # The folder at the root has the name of a standard library module. If it were a
    # package, every library that reads the system's name would fail.
    code = "import platform; print(platform.system())"
    result = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True
    )
    assert result.stdout.strip() == "Linux", result.stderr


def test_product_modules_do_not_contain_platform_names():
    for path in (ROOT / "tamarackhaven").rglob("*.py"):
        assert not PLATFORM_NAMES.search(path.read_text()), path


def test_unknown_role_is_refused():
    result = subprocess.run(
        [sys.executable, "platform", "other"], cwd=ROOT, capture_output=True, text=True
    )
    assert result.returncode == 2
    assert "usage" in result.stderr


def test_missing_settings_make_the_start_fail_with_an_exit_code():
    for role in ("daemon", "control"):
        result = subprocess.run(
            [sys.executable, "platform", role], cwd=ROOT, capture_output=True, text=True
        )
        assert result.returncode == 80, result.stderr
        assert "TH702" in result.stderr
