#!/usr/bin/env bash
# A backend calls to leave; the leader and half of the daemons are killed right after it.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 -m review.lab2.forgotten_leave review/9
