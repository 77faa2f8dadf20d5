"""Sends requests to the target over persistent connections."""

import asyncio
import enum

import attrs

from tamarackhaven._clock import boot_s
from tamarackhaven.net import (
    AnswerBudget,
    ClientConnection,
    Reply,
    RequestNotSentError,
    RequestUnansweredError,
)

# The target is on the same VM, where connecting takes about a millisecond, and a little
# longer to an overloaded target.
OPEN_TIMEOUT_S = 0.5
# A connection isn't reused shortly before the target's idle timeout: a request that is
# sent while the target closes the connection may or may not have run.
MAX_IDLE_MARGIN_S = 1.0
IDLE_MARGIN_FRACTION = 0.25
# Idle timeout assumed if the target doesn't name one.
DEFAULT_IDLE_TIMEOUT_S = 3.0
# A probe is on the same VM; a target that ends takes its listening socket and its
# connections away within this time of each other.
PROBE_TIMEOUT_S = 0.1
PROBE_SETTLE_S = 0.005
# A target that crashes right after a heartbeat can't be running again within this time.
MIN_RESTART_S = 0.1
ANY_TIME = float("inf")
# Answers that are being received. With the bodies of requests they leave room for the
# rest of a daemon in 200 MB.
MAX_RECEIVED_ANSWER_BYTES = 48 << 20


class _NoConnectionToLifeError(Exception):
    """No idle connection is old enough for the life, and it's too late to open one."""


def _read_no_id(_reply):
    """Replies to calls name no call."""
    return


class SendEnd(enum.Enum):
    """Outcome of sending a request."""

    REPLIED = "replied"
    NOT_SENT = "not sent"  # nothing listened, or the connection was closed before it
    UNANSWERED = "unanswered"  # it may have run


@attrs.frozen
class SendResult:
    """Result of sending a request.

    Parameters
    ----------
    end : SendEnd
        Outcome.
    reply : Reply or None
        Set only with REPLIED.
    detail : str
        The error, if there was one.
    is_refused : bool
        Whether the target refused the connection.
    is_too_large : bool
        Whether the answer was given up because of its size.
    """

    end: SendEnd
    reply: Reply | None = None
    detail: str = ""
    is_refused: bool = False
    is_too_large: bool = False


class TargetClient:
    """Pool of connections to one target; the one used last is reused first.

    Parameters
    ----------
    host, port : str, int
        Address of the target.
    """

    def __init__(self, host, port):
        self._host = host
        self._port = port
        self._idle = []
        self._used_count = 0
        self._budget = AnswerBudget(MAX_RECEIVED_ANSWER_BYTES)
        self.opened_count = 0
        self.on_stale_reply = lambda reply, request_id: None

    async def send(self, method, target, headers, body, request_id, read_id):
        """Send a request; return a ``SendResult``.

        A request that was sent before, with the same id, goes over another connection:
        a second copy of its first reply would be taken for the reply to this send.
        Cancelling it closes its connection.
        """
        request = method, target, headers, body, request_id, read_id
        return await self._send(request, ANY_TIME)

    async def send_any(self, method, target, headers, body):
        """Send a call whose reply names nothing; return a ``SendResult``."""
        request = method, target, headers, body, object(), _read_no_id
        return await self._send(request, ANY_TIME)

    async def send_to_life(self, method, target, headers, body, heartbeat_received_s):
        """Send a call to the life with a heartbeat at ``heartbeat_received_s``.

        If a target crashes, its next life may listen on the same address before its
        first heartbeat, and would be told to hold keys with the fence of the former
        life. So the call is sent only on a connection that was open when the heartbeat
        was received, or was opened right after it; a connection to a former life is
        closed by then. ``heartbeat_received_s`` is in seconds of the boot clock.

        Return a ``SendResult``. It's NOT_SENT also if there is no such connection
        before the next heartbeat.
        """
        opened_by_s = heartbeat_received_s + MIN_RESTART_S
        request = method, target, headers, body, object(), _read_no_id
        try:
            return await self._send(request, opened_by_s)
        except _NoConnectionToLifeError:
            return SendResult(SendEnd.NOT_SENT, None, "no connection to this life")

    async def _send(self, request, opened_by_s):
        for _ in range(2):
            connection = self._take_idle(request[4], opened_by_s)
            if connection is None:
                if boot_s() > opened_by_s:
                    raise _NoConnectionToLifeError
                try:
                    connection = await self._open()
                except ConnectionRefusedError as error:
                    return SendResult(
                        SendEnd.NOT_SENT, None, repr(error), is_refused=True
                    )
                except OSError as error:
                    return SendResult(SendEnd.NOT_SENT, None, repr(error))
            self._used_count += 1
            try:
                reply = await connection.request(*request)
            except RequestNotSentError:
                continue
            except RequestUnansweredError as error:
                return SendResult(
                    SendEnd.UNANSWERED,
                    detail=str(error),
                    is_too_large=error.is_too_large,
                )
            finally:
                self._used_count -= 1
            self._return_to_idle(connection)
            return SendResult(SendEnd.REPLIED, reply)
        return SendResult(SendEnd.NOT_SENT, None, "closed while idle")

    async def _open(self):
        self.opened_count += 1
        return await self._connect(OPEN_TIMEOUT_S)

    async def _connect(self, timeout_s):
        address = self._host, self._port
        return await ClientConnection.open(
            *address, timeout_s, self._budget, self._note_stale_reply
        )

    def _note_stale_reply(self, reply, request_id):
        self.on_stale_reply(reply, request_id)

    async def is_listening(self):
        """Whether the target accepts a connection now.

        One that can't be reached in time counts as gone.
        """
        try:
            connection = await self._connect(PROBE_TIMEOUT_S)
        except OSError:
            return False
        # A listening socket that is being closed may accept one more connection.
        await asyncio.sleep(PROBE_SETTLE_S)
        self._return_to_idle(connection)
        return connection.is_open

    async def keep(self, count):
        """Open idle connections until there are ``count`` in all, also those in use.

        They are open when the next heartbeat arrives, so ``send_to_life`` can use them
        from then on.
        """
        while len(self._idle) + self._used_count < count:
            try:
                self._return_to_idle(await self._open())
            except OSError:
                # Nothing listens; the process that sends the next heartbeat will.
                return

    def _take_idle(self, request_id, opened_by_s):
        """Return an idle connection for a request, None if none may be used.

        Without a limit on the age, it's the one used last, so that unneeded ones reach
        their idle timeout; with a limit, the one idle for longest, so that all stay
        open.
        """
        now = boot_s()
        is_any_age = opened_by_s == ANY_TIME
        for connection in reversed(self._idle) if is_any_age else tuple(self._idle):
            if not connection.is_open or not self._is_reusable(connection, now):
                connection.close()
            elif connection.has_carried(request_id):
                continue
            elif connection.opened_s <= opened_by_s:
                self._idle.remove(connection)
                return connection
        self._idle = [each for each in self._idle if each.is_open]
        return None

    def _is_reusable(self, connection, now):
        limit_s = connection.idle_limit_s
        if limit_s is None:
            limit_s = DEFAULT_IDLE_TIMEOUT_S
        margin_s = min(MAX_IDLE_MARGIN_S, limit_s * IDLE_MARGIN_FRACTION)
        return now - connection.idle_since_s < limit_s - margin_s

    def _return_to_idle(self, connection):
        if connection.is_open:
            self._idle.append(connection)

    def close(self):
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()
