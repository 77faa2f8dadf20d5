"""Case: clients of one machine upload bodies of 4 MB, one after the other."""

import asyncio
import sys

from review.lab2.case import main
from review.lab2.clients import KeptClient
from review.lab2.fleet import HOST, CannotRunError, Fleet, Service
from review.lab2.http import read_message, write_message
from review.lab2.memory import MemoryLimit

# Of a sidecar process, by the site file. The configuration allows 67,108,864 bytes.
MEMORY_MB = 300
LARGE_BODY_BYTES = 4_000_000
USUAL_BODY_BYTES = 60_000
UPLOADERS = 12
BODIES_EACH = 15
MAX_CUT = 3


async def scenario(record, has_trouble):
    """Upload bodies beside the usual traffic."""
    fleet = Fleet(
        [
            Service("vault", 2, False, "upload", lambda: 0.19),
            Service("ledger", 3, False, "unsafe", lambda: 0.21),
        ],
        record,
    )
    tasks = []
    try:
        await fleet.start()
        limit = MemoryLimit(fleet.daemons, MEMORY_MB, record)
        clients = [KeptClient(fleet, n % 2, "ledger", record) for n in range(32)]
        tasks = [asyncio.create_task(each.run()) for each in (limit, *clients)]
        await asyncio.sleep(4.0)
        size = LARGE_BODY_BYTES if has_trouble else USUAL_BODY_BYTES
        uploads = [
            _upload_in_turn(fleet, record, size, n, limit) for n in range(UPLOADERS)
        ]
        await asyncio.gather(*uploads)
        await asyncio.sleep(6.0)
        record.line("peak memory", mb=limit.peak_mb_by_name)
        begun = {attempt for _, _, _, attempt, _ in record.begun_runs}
        cut = [each for client in clients for each in client.cut if each in begun]
        if len(cut) <= MAX_CUT:
            return []
        text = (
            f"{len(cut)} requests of kept connections had been passed on to backends"
            f" when {', '.join(limit.killed) or 'no process'} ended over"
            f" {MEMORY_MB} MB and closed the connections without an answer"
        )
        record.line("RULE BROKEN LOST", detail=text, requests=cut)
        return [text]
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await fleet.stop()


async def _upload_in_turn(fleet, record, size, client, limit):
    """Send bodies, each once the one before is answered."""
    for number in range(BODIES_EACH):
        if limit.killed:
            return
        await _upload(fleet, record, size, f"u{client:07x}{number:08x}")


async def _upload(fleet, record, size, attempt):
    headers = [
        ("Host", HOST),
        ("Tamarackhaven-Attempt-Id", attempt),
        ("Tamarackhaven-Deadline-Ms", "1500"),
    ]
    address = fleet.daemons[0].fields["ip"], fleet.ports["outbound"]
    record.line("upload sent", request=attempt, to=1, body_bytes=size)
    writer = None
    try:
        async with asyncio.timeout(1.7):
            reader, writer = await asyncio.open_connection(*address)
            first = f"POST /vault/{attempt} HTTP/1.1"
            writer.write(write_message(first, headers, bytes(size)))
            answer = await read_message(reader, is_response=True)
            record.line("upload answered", request=attempt, status=answer.status)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        record.line("upload has no answer", request=attempt, error=repr(error))
    finally:
        if writer is None:
            raise CannotRunError("no connection for the upload")
        writer.close()


if __name__ == "__main__":
    main(scenario, sys.argv[1])
