#!/usr/bin/env bash
# Backends become cold between two heartbeats, while many users come.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 -m review.lab2.cold_again review/10
