"""Runs the scenario of a case and turns its outcome into an exit code."""

import asyncio
import os
import sys
import traceback
from pathlib import Path

from review.lab2.fleet import CannotRunError
from review.lab2.record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_RUN_S = 115.0


def main(scenario, folder):
    """Run ``scenario(record, has_trouble)`` and exit.

    It returns the sentences that say which rule was broken, an empty list if it held.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    record.line("start", trouble=has_trouble)
    try:
        broken = asyncio.run(_within_time(scenario(record, has_trouble)))
    except CannotRunError as error:
        print(f"could not run: {error}")
        record.line("could not run", detail=str(error))
        sys.exit(NOT_RUN)
    except Exception:
        traceback.print_exc()
        sys.exit(NOT_RUN)
    finally:
        record.line("end")
        record.close()
    for text in broken[:10]:
        print(text)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(BROKEN if broken else HELD)


async def _within_time(scenario):
    try:
        return await asyncio.wait_for(scenario, MAX_RUN_S)
    except TimeoutError as error:
        raise CannotRunError(f"not done in {MAX_RUN_S} s") from error
