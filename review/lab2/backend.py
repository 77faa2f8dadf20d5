"""A stand-in backend that speaks what the users' protocol page says.

It sends heartbeats to the daemon on its own machine, takes its keys in the answers,
runs a request only while it holds the request's key, and says so if it doesn't run one.
"""

import asyncio
import itertools
import json
import time

from review.lab2.http import call, read_message, write_message

BEAT_TIMEOUT_S = 1.0
MAX_BEAT_ANSWER_BYTES = 4096
QUEUE = 48
_names = itertools.count(1)


class Backend:
    """One backend on one machine, over all its lives.

    Parameters
    ----------
    machine : dict
        ``host``, ``app``, ``control`` (ports), ``zone``, ``service``.
    record : Record
        Gets what it runs and holds.
    heartbeat_s : float
        Interval of heartbeats.
    sharded : bool
        Whether it runs a request only while it holds the request's key.
    slots : int
        Requests that it runs at once.
    work_s : callable
        Returns the seconds that a run takes.
    """

    def __init__(self, machine, record, heartbeat_s, sharded, slots, work_s):
        self.machine = machine
        self.record = record
        self.heartbeat_s = heartbeat_s
        self.sharded = sharded
        self.slots = slots
        self.work_s = work_s
        self.name = ""
        self.born_ms = 0
        self.is_up = False
        self.state = "ready"
        # Seconds by which the time of day of its machine is off.
        self.clock_offset_s = 0.0
        # Further seconds before the next heartbeat is sent.
        self.next_beat_late_s = 0.0
        self.last_beat_s = float("-inf")
        # When the heartbeat before a late one was sent, None without one.
        self.late_since_s = None
        self.holds = {}
        self.hold_until_s = float("-inf")
        # Until when it is slow and bears little.
        self.cold_until_s = float("-inf")
        self._fence_by_key_range = []
        self._released = []
        self._working = {}
        self._attempts = set()
        self._sequence = 0
        self._free = None
        self._server = None
        self._heartbeats = None
        self._tasks = set()
        self._writers = set()

    @property
    def address(self):
        """Host and port at which it serves."""
        return self.machine["host"], self.machine["app"]

    # Lives.

    async def start(self):
        """Begin a life that holds and knows nothing of before."""
        self.name = f"i-{next(_names):04d}"
        self.born_ms = int((time.time() + self.clock_offset_s) * 1000)
        self.state = "ready"
        self.holds, self.hold_until_s = {}, float("-inf")
        self._fence_by_key_range, self._released, self._working = [], [], {}
        self._sequence = 0
        self.cold_until_s = float("-inf")
        self._free = asyncio.Semaphore(self.slots)
        self._server = await asyncio.start_server(self._serve, *self.address)
        self.is_up = True
        self.record.line("backend starts", backend=self.name, born=self.born_ms)
        self._heartbeats = self._start(self._send_heartbeats())

    async def crash(self):
        """End the life without a word."""
        self.record.line("backend crashes", backend=self.name)
        self.is_up = False
        self.holds = {}
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        for writer in tuple(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    def _start(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Keys.

    def held(self, now=None):
        """Return the ranges that it holds now, each (first, last, fence)."""
        now = time.monotonic() if now is None else now
        if not self.is_up or now >= self.hold_until_s:
            return []
        return [(*keys, fence) for keys, fence in self.holds.items()]

    def _holds_key(self, key):
        return any(first <= key <= last for first, last, _ in self.held())

    def _take(self, rows, hold_s, sent_s):
        """Hold what an answer to a heartbeat says; return whether a release is due."""
        accepted = {}
        for first, last, fence, _handover in rows:
            seen = [
                known
                for start, end, known in self._fence_by_key_range
                if start <= last and first <= end
            ]
            if any(known > fence for known in seen):
                continue
            accepted[first, last] = fence
            self._fence_by_key_range = [
                each
                for each in self._fence_by_key_range
                if not (first <= each[0] and each[1] <= last)
            ]
            self._fence_by_key_range.append((first, last, fence))
        dropped = [keys for keys in self.holds if keys not in accepted]
        has_lease = time.monotonic() < self.hold_until_s
        if accepted != self.holds:
            self.record.line(
                "keys taken",
                backend=self.name,
                rows=[[*keys, fence] for keys, fence in sorted(accepted.items())],
                hold_s=hold_s,
            )
        gained = [keys for keys in accepted if keys not in self.holds]
        self.holds = accepted
        self.hold_until_s = sent_s + hold_s
        self.record.taken(self, gained)
        if has_lease:
            self._released += [[*keys, f"{keys[0]:016x}"] for keys in dropped]
        return bool(dropped)

    def keys_at_work(self):
        """Return the keys of the requests that it runs."""
        return [key for key, count in self._working.items() if count]

    def attempts_at_work(self):
        """Return the ids of the requests that it runs."""
        return sorted(self._attempts)

    def _rows(self):
        """Return what it holds or still works on, for a heartbeat."""
        rows = {(first, last): fence for first, last, fence in self.held()}
        for key, count in self._working.items():
            is_held = any(first <= key <= last for first, last in rows)
            if count and not is_held and key >= 0:
                rows[key, key] = 0
        return [[*keys, fence] for keys, fence in sorted(rows.items())]

    # Heartbeats.

    async def _send_heartbeats(self):
        while True:
            is_due_soon = await self._send_heartbeat()
            pause_s = 0.09 if is_due_soon else self.heartbeat_s
            late_s, self.next_beat_late_s = self.next_beat_late_s, 0.0
            if late_s:
                self.late_since_s = time.monotonic()
                self.record.line("heartbeat is late", backend=self.name, late_s=late_s)
            await asyncio.sleep(pause_s + late_s)

    def stop_heartbeats(self):
        """Send no more heartbeats, as a backend that has called to leave."""
        self._heartbeats.cancel()

    def beat(self):
        """Return the document of the next heartbeat."""
        self._sequence += 1
        self.last_beat_s = time.monotonic()
        document = {
            "address": f"{self.address[0]}:{self.address[1]}",
            "born": self.born_ms,
            "info": {
                "service": self.machine["service"],
                "version": "v1",
                "zone": self.machine["zone"],
                "max_concurrency": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self._sequence,
                "cold_s_time": round(max(self.cold_until_s - time.monotonic(), 0.0), 3),
            },
        }
        if self.sharded:
            document |= {"active_holds": self._rows(), "released": self._released}
        return document

    async def _send_heartbeat(self):
        sent_s = time.monotonic()
        sent_releases = list(self._released)
        answer = await self.post("heartbeat", self.beat())
        is_good = answer is not None and answer.status == 200
        if not is_good or len(answer.body) > MAX_BEAT_ANSWER_BYTES:
            return False
        self._released = [each for each in self._released if each not in sent_releases]
        document = json.loads(answer.body)
        if "active_holds" not in document:
            return False
        return self._take(document["active_holds"], document["hold_s"], sent_s)

    async def post(self, action, document, name=None):
        """Call the daemon on this machine; return the answer or None."""
        return await call(
            (self.machine["host"], self.machine["control"]),
            f"POST /api/instances/{name or self.name}/{action}",
            [("Host", "control"), ("Content-Type", "application/json")],
            json.dumps(document).encode(),
            BEAT_TIMEOUT_S,
        )

    # Requests.

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                answer = await self._unless_closed(reader, self._answer(request))
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            return
        except asyncio.CancelledError:
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _unless_closed(self, reader, coroutine):
        """Run a request; drop it when its connection closes."""
        run = self._start(coroutine)
        while not run.done():
            await asyncio.wait([run], timeout=0.02)
            if reader.at_eof() and not run.done():
                run.cancel()
                return None
        return None if run.cancelled() else run.result()

    async def _answer(self, request):
        method, path, _ = request.first.split()
        attempt = request.get("tamarackhaven-attempt-id")
        if path == "/health":
            cold_ms = max(self.cold_until_s - time.monotonic(), 0.0) * 1000
            headers = [
                ("Tamarackhaven-Instance-Id", self.name),
                ("Tamarackhaven-Cold-Ms", str(int(cold_ms))),
            ]
            return self._reply("200 OK", "", b"", headers)
        key = int(request.get("tamarackhaven-shard-key", "-1"))
        expected = request.get("tamarackhaven-expected-instance", self.name)
        now = time.monotonic()
        fields = {
            "backend": self.name,
            "request": attempt,
            "method": method,
            "path": path,
            "key": key,
        }
        if expected != self.name or (self.sharded and not self._holds_key(key)):
            self.record.line("not run", status=421, **fields)
            headers = [("Tamarackhaven-Not-Executed", "1")]
            return self._reply("421 Misdirected Request", attempt, b"", headers)
        deadline_s = (
            now + float(request.get("tamarackhaven-deadline-ms", "2000")) / 1000
        )
        self.record.arrived(self, attempt, key, fields)
        async with self._free:
            if time.monotonic() >= deadline_s:
                headers = [("Tamarackhaven-Not-Executed", "1")]
                self.record.line("not run", status=503, **fields)
                return self._reply("503 Service Unavailable", attempt, b"", headers)
            return await self._run(request, attempt, key, deadline_s, fields)

    async def _run(self, request, attempt, key, deadline_s, fields):
        self.record.begun(self, attempt, key, fields)
        self._working[key] = self._working.get(key, 0) + 1
        self._attempts.add(attempt)
        try:
            work_s = self.work_s()
            left_s = deadline_s - time.monotonic()
            await asyncio.sleep(min(work_s, max(left_s, 0.0)))
        finally:
            self._working[key] -= 1
            self._attempts.discard(attempt)
        self.record.ended_runs.add(attempt)
        if work_s > left_s:
            self.record.line("run ended", status=504, **fields)
            return self._reply("504 Gateway Timeout", attempt, b"")
        self.record.line("run ended", status=200, **fields)
        return self._reply("200 OK", attempt, f"{self.name} {attempt}".encode())

    def _reply(self, status, attempt, body, headers=()):
        fixed = [("Keep-Alive", "timeout=10")]
        if attempt:
            fixed.append(("Tamarackhaven-Attempt-Id", attempt))
        if status[0] in "25" and "Not-Executed" not in str(headers):
            fixed.append(("Tamarackhaven-Response-Signature", f"{self.name}.{attempt}"))
        return write_message(f"HTTP/1.1 {status}", [*fixed, *headers], body)
