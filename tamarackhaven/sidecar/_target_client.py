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
ANY_TIME = float("inf")
# Answers that are being received. With the bodies of requests they leave room for the
# rest of a daemon in 200 MB.
MAX_RECEIVED_ANSWER_BYTES = 48 << 20


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
        self._idle_limit_s = DEFAULT_IDLE_TIMEOUT_S
        self._budget = AnswerBudget(MAX_RECEIVED_ANSWER_BYTES)
        self.opened_count = 0
        self.on_stale_reply = lambda reply, request_id: None

    async def send(self, method, target, headers, body, request_id, read_id):
        """Send a request; return a ``SendResult``.

        A request that was sent before, with the same id, goes over another connection:
        a second copy of its first reply would be taken for the reply to this send.
        Cancelling it closes its connection.
        """
        for _ in range(2):
            connection = self._take_idle(request_id)
            if connection is None:
                connection = await self._open_or_fail()
                if isinstance(connection, SendResult):
                    return connection
            request = method, target, headers, body, request_id, read_id
            result = await self._exchange(connection, request)
            if result is None:
                continue
            self._return_to_idle(connection)
            return result
        return SendResult(SendEnd.NOT_SENT, None, "closed while idle")

    async def send_once(self, call, opened_by_s, prefers_new=False):
        """Send a ``TargetCall`` over a connection that carries nothing else.

        Parameters
        ----------
        call : TargetCall
            Its answer names no call.
        opened_by_s : float
            When an idle connection must have been opened, in seconds of the boot clock.
        prefers_new : bool
            Whether an idle connection is used only if no new one can be opened.

        Returns
        -------
        SendResult
        """
        connection = None if prefers_new else self._take_oldest(opened_by_s)
        if connection is None:
            connection = await self._open_or_fail()
        if isinstance(connection, SendResult):
            idle = self._take_oldest(opened_by_s) if prefers_new else None
            if idle is None:
                return connection
            connection = idle
        if connection.opened_s > opened_by_s:
            connection.close()
            return SendResult(SendEnd.NOT_SENT, None, "no connection to this life")
        request = call.method, call.target, call.headers, call.body, "", _read_no_id
        try:
            result = await self._exchange(connection, request)
        finally:
            connection.close()
        if connection.idle_limit_s is not None:
            self._idle_limit_s = connection.idle_limit_s
        return result or SendResult(SendEnd.NOT_SENT, None, "closed while idle")

    async def _exchange(self, connection, request):
        """Return a ``SendResult``, None if the connection was closed before it."""
        try:
            reply = await connection.request(*request)
        except RequestNotSentError:
            return None
        except RequestUnansweredError as error:
            return SendResult(
                SendEnd.UNANSWERED,
                detail=str(error),
                is_too_large=error.is_too_large,
            )
        return SendResult(SendEnd.REPLIED, reply)

    async def _open_or_fail(self):
        """Return a new connection, or the ``SendResult`` if there can be none."""
        try:
            return await self._open()
        except ConnectionRefusedError as error:
            return SendResult(SendEnd.NOT_SENT, None, repr(error), is_refused=True)
        except OSError as error:
            return SendResult(SendEnd.NOT_SENT, None, repr(error))

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
        """Open connections until ``count`` are idle."""
        while len(self._open_idle()) < count:
            try:
                self._return_to_idle(await self._open())
            except OSError:
                # Nothing listens; the process that sends the next heartbeat will.
                return

    @property
    def idle_count(self):
        """Number of idle connections."""
        return len(self._open_idle())

    def has_idle(self, opened_by_s):
        """Whether an idle connection was open at ``opened_by_s``."""
        return any(each.opened_s <= opened_by_s for each in self._open_idle())

    def _take_idle(self, request_id):
        """Return the idle connection used last for a request, None if none may be used.

        So unneeded ones reach their idle timeout.
        """
        for connection in reversed(self._open_idle()):
            if not connection.has_carried(request_id):
                self._idle.remove(connection)
                return connection
        return None

    def _take_oldest(self, opened_by_s):
        """Return the connection idle for longest, None if none may be used."""
        for connection in self._open_idle():
            if connection.opened_s <= opened_by_s:
                self._idle.remove(connection)
                return connection
        return None

    def _open_idle(self):
        """Return the idle connections that are open; close those idle for too long."""
        now = boot_s()
        for connection in self._idle:
            if not connection.is_open or not self._is_reusable(connection, now):
                connection.close()
        self._idle = [each for each in self._idle if each.is_open]
        return self._idle

    def _is_reusable(self, connection, now):
        limit_s = connection.idle_limit_s
        if limit_s is None:
            limit_s = self._idle_limit_s
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
