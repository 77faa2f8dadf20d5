"""Clients that keep their connections, and what becomes of their requests."""

import asyncio
import itertools

from review.lab2.fleet import HOST
from review.lab2.http import read_message, write_message

_attempts = itertools.count(1)


class KeptClient:
    """A client that sends one request after the other on a connection that it keeps.

    Parameters
    ----------
    fleet : Fleet
        The deployment.
    at : int
        Number of the daemon whose machine it is on.
    service : str
        Service that it asks for.
    record : Record
        Gets its requests and their answers.
    deadline_s : float
        How long it waits for an answer.
    """

    def __init__(self, fleet, at, service, record, deadline_s=1.5):
        self._fleet = fleet
        self._at = at
        self._service = service
        self._record = record
        self._deadline_s = deadline_s
        # Requests that were sent on a kept connection that ended without an answer.
        self.cut = []

    async def run(self):
        """Send requests until cancelled."""
        while True:
            try:
                await self._use_one_connection()
            except OSError:
                await asyncio.sleep(0.1)

    async def _use_one_connection(self):
        reader, writer = await asyncio.open_connection(
            self._fleet.daemons[self._at].fields["ip"], self._fleet.ports["outbound"]
        )
        try:
            while await self._ask(reader, writer):
                await asyncio.sleep(0.01)
        finally:
            writer.close()

    async def _ask(self, reader, writer):
        """Send one request; return whether the connection may be used again."""
        attempt = f"c{next(_attempts):015x}"
        headers = [
            ("Host", HOST),
            ("Tamarackhaven-Attempt-Id", attempt),
            ("Tamarackhaven-Deadline-Ms", str(int(self._deadline_s * 1000))),
        ]
        first = f"POST /{self._service}/{attempt} HTTP/1.1"
        self._record.line("request sent", request=attempt, to=self._at + 1, kept=True)
        writer.write(write_message(first, headers, b"entry"))
        try:
            async with asyncio.timeout(self._deadline_s + 0.2):
                answer = await read_message(reader, is_response=True)
        except (OSError, asyncio.IncompleteReadError):
            self.cut.append(attempt)
            self._record.line("connection ended without an answer", request=attempt)
            return False
        except TimeoutError:
            self._record.line("no answer in time", request=attempt)
            return False
        self._record.line("answered", request=attempt, status=answer.status)
        return answer.get("connection").lower() != "close"
