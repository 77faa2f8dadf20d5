"""A backend as the users' pages describe it: heartbeats, keys, slots, answers."""

import asyncio
import contextlib
import itertools
import json
import time

from review.lab.http_stub import send
from review.lab.platform_stub import HEARTBEAT_S, PORTS

_ids = itertools.count(1)


class Hold:
    """Keys that a backend holds under one fencing token."""

    def __init__(self, first, last, fence, until_s):
        self.first = first
        self.last = last
        self.fence = fence
        self.until_s = until_s


class Server:
    """A backend that holds keys, if its service is sharded, and answers requests.

    Parameters
    ----------
    host : str
        Address of its machine.
    service, zone : str
        As in its heartbeats.
    record : Record
        Gets a line for each request that runs and each grant.
    is_sharded : bool
        Whether it runs requests only while it holds their key.
    work_s : float
        How long a request takes.
    """

    def __init__(self, host, service, record, zone="z", is_sharded=False, work_s=0.02):
        self.host = host
        self.service = service
        self.zone = zone
        self.record = record
        self.is_sharded = is_sharded
        self.work_s = work_s
        self.slots = 12
        self.id = f"i-{next(_ids):08x}"
        self.born_ms = int(time.time() * 1000)
        self.state = "ready"
        self.is_up = False
        self.holds = []
        self.runs = []
        self.running_keys = []
        self.begun = []
        self.body_for = lambda path: f"{self.id} {path}".encode()
        self._seen = {}
        self._released = []
        self._sequence = 0
        self._heartbeat_task = None
        self._server = None
        self._writers = set()
        self._slots = asyncio.Semaphore(self.slots)

    async def start(self):
        """Listen, and send heartbeats."""
        self._server = await asyncio.start_server(
            self._serve, self.host, PORTS["app"], backlog=256
        )
        self.is_up = True
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())
        self.record.say("backend starts", id=self.id, machine=self.host)

    async def stop(self):
        """End: the port refuses connections and open ones are reset."""
        if not self.is_up:
            return
        self.is_up = False
        self._heartbeat_task.cancel()
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        self.record.say("backend ends", id=self.id)

    # Keys.

    def held(self):
        """Return the holds that haven't run out."""
        now = time.monotonic()
        self.holds = [each for each in self.holds if now < each.until_s]
        return self.holds

    def holds_key(self, key):
        """Whether it holds a key now."""
        return any(each.first <= key <= each.last for each in self.held())

    def _grant(self, first, last, fence, hold_s):
        """Take keys by a call; return the status."""
        seen = [f for (a, b), f in self._seen.items() if a <= last and first <= b]
        if any(each > fence for each in seen):
            return 409
        self._seen[first, last] = fence
        self._drop(first, last)
        self.holds.append(Hold(first, last, fence, time.monotonic() + hold_s))
        self.record.say(
            "granted", id=self.id, first=first, last=last, fence=fence, hold_s=hold_s
        )
        return 200

    def _drop(self, first, last):
        kept = []
        for each in self.held():
            if each.last < first or last < each.first:
                kept.append(each)
                continue
            if each.first < first:
                kept.append(Hold(each.first, first - 1, each.fence, each.until_s))
            if last < each.last:
                kept.append(Hold(last + 1, each.last, each.fence, each.until_s))
        self.holds = kept

    async def _release(self, first, last):
        """Give up keys by a call; return once the work on them has ended."""
        self._drop(first, last)
        self.record.say("released", id=self.id, first=first, last=last)
        while any(first <= key <= last for key in self.running_keys):
            await asyncio.sleep(0.01)
        return f"{first:04x}{int(time.monotonic() * 1000) % (1 << 48):012x}"

    # Heartbeats.

    def heartbeat_document(self):
        """Return the body of the next heartbeat."""
        self._sequence += 1
        return {
            "address": f"{self.host}:{PORTS['app']}",
            "born": self.born_ms,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "max_concurrency": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self._sequence,
                "cold_s_time": 0,
            },
            "active_holds": [[h.first, h.last, h.fence] for h in self.held()],
            "released": list(self._released),
        }

    async def post(self, action, document, timeout_s=1.0):
        """Send a heartbeat or a leave; return the ``Answer``."""
        return await send(
            self.host,
            PORTS["control"],
            "POST",
            f"/api/instances/{self.id}/{action}",
            [("Host", "x"), ("Connection", "close")],
            json.dumps(document).encode(),
            timeout_s,
        )

    async def send_heartbeat(self, document):
        """Send a heartbeat; return whether keys were released by its answer."""
        sent_s = time.monotonic()
        answer = await self.post("heartbeat", document)
        if answer.status != 200:
            return False
        released = [tuple(each) for each in document["released"]]
        self._released = [r for r in self._released if tuple(r) not in released]
        return self._apply(json.loads(answer.body), sent_s)

    def _apply(self, reply, sent_s):
        if "active_holds" not in reply:
            return False
        rows = reply["active_holds"]
        until_s = sent_s + reply["hold_s"]
        kept = {(first, last) for first, last, _, _ in rows}
        gone = [h for h in self.held() if (h.first, h.last) not in kept]
        self._released += [
            [
                h.first,
                h.last,
                f"{h.first:04x}{int(time.monotonic() * 1000) % (1 << 48):012x}",
            ]
            for h in gone
        ]
        self.holds = [Hold(a, b, fence, until_s) for a, b, fence, _ in rows]
        return bool(gone)

    async def _send_heartbeats(self):
        while True:
            document = self.heartbeat_document()
            has_released = await self.send_heartbeat(document)
            await asyncio.sleep(0.1 if has_released else HEARTBEAT_S)

    # Requests.

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (each.partition(":") for each in lines[1:])
                    if name
                }
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length)
                await self._answer(writer, lines[0].split(" "), headers, body)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            with contextlib.suppress(Exception):
                writer.close()
        finally:
            self._writers.discard(writer)

    async def _answer(self, writer, line, headers, body):
        path = line[1]
        if path == "/health":
            found = {"Tamarackhaven-Instance-Id": self.id}
            await _write(writer, 200 if self.state == "ready" else 503, found)
        elif headers.get("tamarackhaven-expected-instance", self.id) != self.id:
            await self.not_executed(writer, 421, headers)
        elif path in ("/api/grant", "/api/release"):
            await self._execute_order(writer, path, json.loads(body))
        else:
            await self.run(writer, path, headers)

    async def _execute_order(self, writer, path, order):
        first, last = order["from"], order["target_version"]
        if path == "/api/grant":
            status = self._grant(first, last, order["fence"], order["hold_s"])
            await _write(writer, status, {})
        else:
            handover = await self._release(first, last)
            await _write(writer, 200, {"Tamarackhaven-Handover": handover})

    async def not_executed(self, writer, status, headers):
        """Reject a request, which doesn't run."""
        attempt = headers.get("tamarackhaven-attempt-id", "")
        await _write(writer, status, self.refusal_headers(attempt))

    def refusal_headers(self, attempt):
        """Return the headers of an answer that says that a request didn't run."""
        return {
            "Tamarackhaven-Not-Executed": "1",
            "Tamarackhaven-Attempt-Id": attempt,
        }

    async def run(self, writer, path, headers):
        """Run a request and answer it."""
        attempt = headers.get("tamarackhaven-attempt-id", "")
        async with self._slots:
            key = int(headers.get("tamarackhaven-shard-key", -1))
            if self.is_sharded and not self.holds_key(key):
                await self.not_executed(writer, 421, headers)
                return
            begun_s = time.monotonic()
            self.begun.append((begun_s, attempt, key))
            self.running_keys.append(key)
            self.record.say("runs", id=self.id, attempt=attempt, path=path, key=key)
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self.running_keys.remove(key)
        found = {
            "Tamarackhaven-Attempt-Id": attempt,
            "Tamarackhaven-Response-Signature": f"{self.id}.{attempt}",
        }
        await _write(writer, 200, found, self.body_for(path))


async def _write(writer, status, headers, body=b""):
    writer.write(answer_bytes(status, headers, body))
    await writer.drain()


def answer_bytes(status, headers, body=b""):
    """Return the bytes of an answer."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body
