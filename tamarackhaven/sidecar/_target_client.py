"""Sends requests to the target over kept connections."""

import enum

import attrs

from tamarackhaven._clock import boot_s
from tamarackhaven.net import (
    ClientConnection,
    Reply,
    RequestNotSentError,
    RequestUnansweredError,
)

# The target is on the same VM: a connection takes about a millisecond, and a target
# that is choked a little longer.
OPEN_TIMEOUT_S = 0.5
# A connection is not reused in the last part of the time that the target keeps it: a
# request that crosses its close may have run or not.
KEEP_MARGIN_S = 1.0
KEEP_MARGIN_PART = 0.25
# What is kept where the target doesn't say.
KEEP_DEFAULT_S = 3.0


class SendEnd(enum.Enum):
    """How a send ended."""

    REPLIED = "replied"
    NOT_SENT = "not sent"  # nothing listened, or the connection was closed before
    UNANSWERED = "unanswered"  # it may have run


@attrs.frozen
class Sent:
    """What became of a send; ``reply`` only with REPLIED."""

    end: SendEnd
    reply: Reply | None = None
    detail: str = ""
    is_refused: bool = False


class TargetClient:
    """The connections to one target; the newest used is used first.

    Parameters
    ----------
    host, port : str, int
        Of the target.
    """

    def __init__(self, host, port):
        self._host = host
        self._port = port
        self._idle = []
        self.opened = 0

    async def send(self, method, target, headers, body, is_reply):
        """Send a request; return ``Sent``. Cancelled, it closes its connection."""
        for _ in range(2):
            connection = self._take()
            if connection is None:
                try:
                    connection = await self._open()
                except ConnectionRefusedError as error:
                    return Sent(SendEnd.NOT_SENT, None, repr(error), is_refused=True)
                except OSError as error:
                    return Sent(SendEnd.NOT_SENT, None, repr(error))
            try:
                reply = await connection.request(
                    method, target, headers, body, is_reply
                )
            except RequestNotSentError:
                continue
            except RequestUnansweredError as error:
                return Sent(SendEnd.UNANSWERED, None, str(error))
            self._give_back(connection)
            return Sent(SendEnd.REPLIED, reply)
        return Sent(SendEnd.NOT_SENT, None, "closed while idle")

    async def _open(self):
        self.opened += 1
        return await ClientConnection.open(self._host, self._port, OPEN_TIMEOUT_S)

    def _take(self):
        now = boot_s()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open and self._is_young(connection, now):
                return connection
            connection.close()
        return None

    def _is_young(self, connection, now):
        limit_s = connection.idle_limit_s
        if limit_s is None:
            limit_s = KEEP_DEFAULT_S
        margin_s = min(KEEP_MARGIN_S, limit_s * KEEP_MARGIN_PART)
        return now - connection.idle_since_s < limit_s - margin_s

    def _give_back(self, connection):
        if connection.is_open:
            self._idle.append(connection)

    def close(self):
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()
