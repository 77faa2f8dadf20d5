"""A simulated target of a fleet: it sends heartbeats, holds keys and runs requests."""

import asyncio
import itertools
import json
import time

import attrs

from standin.call import call

HEARTBEAT_S = 0.3
HEARTBEAT_TIMEOUT_S = 1.0
ATTEMPT_ID = "tamarackhaven-attempt-id"
PORTS = {"operators": 18620, "links": 17600, "callers": 18629, "readiness": 18625}
TARGET_PORT = 18628
ODD_STATUS_LINES = (
    *(
        f"HTTP/1.1 {status} OK"
        for status in ("000", "099", "600", "999", "0200", "20", "+20", "2e2", "")
    ),
    "HTTP/1.1  200 OK",
    "HTTP/1.1 101 Switching",
    "HTTP/9.9 200 OK",
    "HTTP/2.0 200 OK",
    "HTTP/1.1 200\0OK",
)


@attrs.frozen
class Started:
    """A request that a target starts to run; ``key`` is -1 without one."""

    attempt: str
    path: str
    key: int
    body: bytes


class Target:
    """A target that sends heartbeats, holds the granted keys and records executions.

    Parameters
    ----------
    host : str
        Address of its VM.
    service : str
        ``owned`` or ``shared``.
    """

    _next_born_ms = itertools.count(1_700_000_000_000)

    def __init__(self, host, service, zone="z"):
        self.host = host
        self.service = service
        self.zone = zone
        self.name = f"i-{host}"
        self.born_ms = next(self._next_born_ms)
        self.state = "ready"
        # At which its daemon reaches it.
        self.address = f"{host}:{TARGET_PORT}"
        self.work_s = 0.01
        # Value of the header that names a limit, None for no header.
        self.limit_text = None
        self.is_announced = False
        # Bytes of a further header of its heartbeats, and seconds within their heads.
        self.head_padding = 0
        self.head_pause_s = 0.0
        # Whether it rejects an attempt, and whether it gives that answer twice.
        self.rejects = lambda attempt: False
        self.gives_twice = lambda attempt: False
        self.on_arrival = lambda attempt: None
        self.on_start = lambda attempt: None
        # Returns after how many seconds a request ends the target, None if it doesn't.
        self.ends_under = lambda started: None
        self.on_ended = lambda target: None
        # Until when it's cold, and how late its next heartbeat is, in seconds.
        self.cold_until_s = 0.0
        self.next_heartbeat_late_s = 0.0
        self.heartbeat_s = HEARTBEAT_S
        self.health_checks = 0
        # Returns a status line that is none for an answer, or None.
        self.odd_status_line = lambda: None
        self.ran = []
        self.begun = []
        self.held_by_range = {}
        self.fence_by_key_range = {}
        self._held_until_s = 0.0
        self.sequence = 0
        self._released = []
        self._server = None
        self._heartbeats = None
        self._end_task = None
        self._writers = set()

    async def start(self):
        """Listen and start sending heartbeats."""
        self._server = await asyncio.start_server(self._serve, self.host, TARGET_PORT)
        self._heartbeats = asyncio.create_task(self._send_heartbeats_forever())

    async def restart(self):
        """Start again under the same name, as another life that holds nothing."""
        self.born_ms = next(self._next_born_ms)
        self.sequence = 0
        self._released = []
        self._end_task = None
        await self.start()

    async def stop(self):
        """Simulate a crash: send no leave request and drop all holds."""
        self.held_by_range = {}
        if self._server is None:
            return
        self._heartbeats.cancel()
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def holds(self, key):
        """Whether the target may execute requests for ``key`` now."""
        return time.monotonic() < self._held_until_s and any(
            first <= key <= last for first, last in self.held_by_range
        )

    @property
    def cold_s(self):
        """For how many more seconds it's cold."""
        return max(self.cold_until_s - time.monotonic(), 0.0)

    async def _send_heartbeats_forever(self):
        while True:
            more = await self._send_heartbeat()
            late_s, self.next_heartbeat_late_s = self.next_heartbeat_late_s, 0.0
            await asyncio.sleep((0.05 if more else self.heartbeat_s) + late_s)

    async def _send_heartbeat(self):
        sent_s = time.monotonic()
        return await self._post("heartbeat", self._next_heartbeat(), sent_s)

    def _next_heartbeat(self):
        self.sequence += 1
        if time.monotonic() >= self._held_until_s:
            self.held_by_range = {}
        rows = [[*keys, fence] for keys, fence in self.held_by_range.items()]
        return {
            "address": self.address,
            "born": self.born_ms,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "max_concurrency": 8,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "cold_s_time": self.cold_s,
            },
            "active_holds": rows,
            "released": self._released,
        }

    async def _post(self, action, document, sent_s):
        """Send a heartbeat or leave request; return whether holds were released.

        If so, the next heartbeat is due soon, to report the release.
        ``sent_s`` is the ``time.monotonic()`` of sending, in seconds.
        """
        answer = await self._call(action, document)
        if answer.status != 200:
            return False
        self._released = []
        return self._apply_grants(json.loads(answer.body), sent_s)

    async def _call(self, action, document):
        return await call(
            self.host,
            PORTS["operators"],
            "POST",
            f"/api/instances/{self.name}/{action}",
            [("Host", "x"), ("Padding", "p" * self.head_padding)],
            json.dumps(document).encode(),
            HEARTBEAT_TIMEOUT_S,
            self.head_pause_s,
        )

    async def send_leave(self):
        """Send a leave request; return whether it's acknowledged.

        The target goes on serving and sending heartbeats.
        """
        answer = await self._call("leave", {"born": self.born_ms})
        return answer.status == 200

    async def send_draining(self):
        """Say once by a heartbeat that it drains; return whether that is acknowledged.

        Later ones say again that it's ready, as those do that come late.
        """
        self.state = "draining"
        try:
            answer = await self._call("heartbeat", self._next_heartbeat())
        finally:
            self.state = "ready"
        return answer.status == 200

    def _apply_grants(self, response, sent_s):
        if "active_holds" not in response:
            return False
        new = {
            (first, last): fence for first, last, fence, _ in response["active_holds"]
        }
        released = [keys for keys in self.held_by_range if keys not in new]
        self._released = [[*keys, f"t{keys[0]}"] for keys in released]
        self.held_by_range = new
        self._held_until_s = sent_s + response["hold_s"]
        return bool(released)

    async def _serve(self, reader, writer):
        if not self._server.is_serving():
            writer.transport.abort()
            return
        self._writers.add(writer)
        second_copy = b""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                headers = {
                    n.lower(): v.strip()
                    for n, _, v in (line.partition(":") for line in lines[1:] if line)
                }
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                # A second copy comes where the next answer is due.
                writer.write(second_copy)
                answer = await self._answer(lines[0], headers, body)
                writer.write(answer)
                is_twice = self.gives_twice(headers.get(ATTEMPT_ID, ""))
                second_copy = answer if is_twice else b""
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        except asyncio.CancelledError:
            # The run has ended; asyncio logs a cancelled server task as an error.
            return
        finally:
            self._writers.discard(writer)

    def _record_start(self, attempt, key):
        """Record that the execution of an attempt starts."""
        self.begun.append(attempt)
        self.on_start(attempt)

    def _end_later(self, seconds):
        """Crash after ``seconds``, unless this life has ended by then."""
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, self._end_life, self.born_ms)

    def _end_life(self, born_ms):
        is_over = self._end_task is not None or not self._server.is_serving()
        if born_ms == self.born_ms and not is_over:
            self._end_task = asyncio.create_task(self._end())

    async def _end(self):
        await self.stop()
        self.on_ended(self)

    async def _answer(self, line, headers, body):
        attempt = headers.get(ATTEMPT_ID, "")
        key = int(headers.get("tamarackhaven-shard-key", -1))
        if line.startswith("GET /health "):
            self.health_checks += 1
            return await self._health(headers)
        self.on_arrival(attempt)
        misdirected = headers.get("tamarackhaven-expected-instance") != self.name
        if misdirected or (self.service == "owned" and not self.holds(key)):
            return _not_run("421 Misdirected", attempt)
        if self.rejects(attempt):
            return _not_run("503 Full", attempt)
        self._record_start(attempt, key)
        end_s = self.ends_under(Started(attempt, line.split()[1], key, body))
        if end_s is not None:
            self._end_later(end_s)
            await asyncio.sleep(end_s)
        await asyncio.sleep(self.work_s)
        self.ran.append((attempt, key, time.monotonic()))
        text = f"{self.name} {line.split()[1]} ".encode() + body
        status_line = self.odd_status_line() or "HTTP/1.1 200 OK"
        return (
            b"%s\r\nTamarackhaven-Attempt-Id: %s\r\n"
            b"Tamarackhaven-Response-Signature: s\r\n%sContent-Length: %d\r\n\r\n%s"
        ) % (
            status_line.encode(),
            attempt.encode(),
            self._notice_headers(),
            len(text),
            text,
        )

    async def _health(self, headers):
        """Return the answer to a health check, which echoes its id."""
        return (
            f"HTTP/1.1 200 OK\r\nTamarackhaven-Attempt-Id: {headers[ATTEMPT_ID]}\r\n"
            f"Tamarackhaven-Instance-Id: {self.name}\r\n"
            f"Tamarackhaven-Cold-Ms: {int(1000 * self.cold_s)}\r\n"
            "Content-Length: 0\r\n\r\n"
        ).encode()

    def _notice_headers(self):
        """Return the headers with which it reports its limit and that it leaves."""
        limit, leaving = self.limit_text, self.is_announced
        lines = f"Server-Limit: {limit}\r\n" if limit is not None else ""
        return (lines + ("Server-Leaving: 1\r\n" if leaving else "")).encode()


def _not_run(status, attempt):
    """Return an answer that says that the target did not run the attempt."""
    return (
        f"HTTP/1.1 {status}\r\nTamarackhaven-Not-Executed: 1\r\n"
        f"Tamarackhaven-Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n"
    ).encode()
