#!/usr/bin/env bash
# Another writer sends one heartbeat without an address while a backend's own is late.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 -m review.lab2.odd_beat review/6
