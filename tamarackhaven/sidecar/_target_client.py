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
# A target that crashes right after a heartbeat isn't started again within this time.
SAME_LIFE_S = 0.1
ANY_TIME = float("inf")


class _NoneOpenedByError(Exception):
    """No connection is old enough, and a new one would not be."""


def any_reply(_reply):
    """Take whatever comes as the answer."""
    return True


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
        self._used = 0
        self.opened = 0

    async def send(self, method, target, headers, body, is_reply):
        """Send a request; return ``Sent``. Cancelled, it closes its connection."""
        request = method, target, headers, body, is_reply
        return await self._send(request, ANY_TIME)

    async def send_to_life(self, method, target, headers, body, heard_s):
        """Send a call to the process that was heard at ``heard_s``; return ``Sent``.

        Failure: a target crashes, and its next life listens at the same address before
        it is heard of. Symptom: the new life is told to hold keys under the token of
        the former one. Enough: the call goes on a connection that was there when the
        heartbeat came, or was opened right after it; one to a former life is closed.

        NOT_SENT also if there is no such connection before the next heartbeat.
        """
        opened_by_s = heard_s + SAME_LIFE_S
        request = method, target, headers, body, any_reply
        try:
            return await self._send(request, opened_by_s)
        except _NoneOpenedByError:
            return Sent(SendEnd.NOT_SENT, None, "no connection to this life")

    async def _send(self, request, opened_by_s):
        for _ in range(2):
            connection = self._take(opened_by_s)
            if connection is None:
                if boot_s() > opened_by_s:
                    raise _NoneOpenedByError
                try:
                    connection = await self._open()
                except ConnectionRefusedError as error:
                    return Sent(SendEnd.NOT_SENT, None, repr(error), is_refused=True)
                except OSError as error:
                    return Sent(SendEnd.NOT_SENT, None, repr(error))
            self._used += 1
            try:
                reply = await connection.request(*request)
            except RequestNotSentError:
                continue
            except RequestUnansweredError as error:
                return Sent(SendEnd.UNANSWERED, None, str(error))
            finally:
                self._used -= 1
            self._give_back(connection)
            return Sent(SendEnd.REPLIED, reply)
        return Sent(SendEnd.NOT_SENT, None, "closed while idle")

    async def _open(self):
        self.opened += 1
        return await ClientConnection.open(self._host, self._port, OPEN_TIMEOUT_S)

    async def keep(self, count):
        """Have ``count`` idle connections, for a heartbeat to vouch for."""
        while len(self._idle) + self._used < count:
            try:
                self._give_back(await self._open())
            except OSError:
                # Nothing listens; the next heartbeat is of a process that does.
                return

    def _take(self, opened_by_s):
        """Return an idle connection, None if none may be used.

        The one used last, so that spare ones are closed in time; where the age counts,
        the one used first, so that all are kept.
        """
        now = boot_s()
        is_any = opened_by_s == ANY_TIME
        for connection in reversed(self._idle) if is_any else tuple(self._idle):
            if not connection.is_open or not self._is_young(connection, now):
                connection.close()
            elif connection.opened_s <= opened_by_s:
                self._idle.remove(connection)
                return connection
        self._idle = [each for each in self._idle if each.is_open]
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
