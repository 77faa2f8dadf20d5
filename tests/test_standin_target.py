"""Tests of the simulated target: once it has crashed, nothing of it goes on."""

import asyncio
import contextlib
import socket

from standin.fleet_target import HEARTBEAT_S, PORTS, TARGET_PORT, Target

HOST = "127.199.2.1"
# More than a heartbeat or a new connection takes.
LOOP_STEPS = 80
ANSWER = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 35\r\n\r\n{"active_holds": [], "hold_s": 1.0}'
)


class Registry:
    """Answers heartbeats, and remembers who sent them."""

    def __init__(self):
        self.heard = []

    async def serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await reader.readuntil(b"\r\n\r\n")
            self.heard.append(head.split(b"/")[3].decode())
            writer.write(ANSWER)
        writer.close()


async def stop_after(steps, target):
    for _ in range(steps):
        await asyncio.sleep(0)
    await target.stop()


async def heard_after_crashes():
    registry = Registry()
    server = await asyncio.start_server(registry.serve, HOST, PORTS["operators"])
    async with server:
        for steps in range(LOOP_STEPS):
            target = Target(HOST, "owned")
            target.name = f"i{steps}"
            await target.start()
            await stop_after(steps, target)
        assert registry.heard
        await asyncio.sleep(HEARTBEAT_S)
        registry.heard.clear()
        await asyncio.sleep(3 * HEARTBEAT_S)
    return registry.heard


def test_a_crashed_target_sends_no_heartbeats():
    # Guards against: a crash while the answer to a heartbeat arrives goes unnoticed.
    assert asyncio.run(heard_after_crashes()) == []


async def answered_after_crashes():
    answered = []
    for steps in range(LOOP_STEPS):
        target = Target(HOST, "shared")
        await target.start()
        with socket.create_connection((HOST, TARGET_PORT)) as caller:
            caller.setblocking(False)
            await stop_after(steps, target)
            line = b"GET / HTTP/1.1\r\nTamarackhaven-Expected-Instance: %s\r\n\r\n"
            try:
                caller.sendall(line % target.name.encode())
                loop = asyncio.get_running_loop()
                async with asyncio.timeout(10 * target.work_s):
                    if await loop.sock_recv(caller, 1):
                        answered.append(steps)
            except (OSError, TimeoutError):
                pass
    return answered


def test_a_crashed_target_answers_on_no_connection():
    # Guards against: a connection that is opened during a crash outlives the target.
    assert asyncio.run(answered_after_crashes()) == []
