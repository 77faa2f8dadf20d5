"""Answers whose first line is no status line, at each door that reads answers."""

import asyncio

import pytest

from standin.call import NO_STATUS, call
from standin.fleet import Fleet
from standin.fleet_target import ODD_STATUS_LINES, PORTS
from tamarackhaven._send import send
from tamarackhaven._status_line import is_status_line
from tamarackhaven.errors import TamarackhavenError
from tests.fleet import real_fleet
from tests.net.test_http_client import RequestUnansweredError, send_requests
from tests.test_send import Cut, never, outgoing, scripted

REST = b"\r\nId: id-0\r\nTamarackhaven-Request-Id: r1\r\nContent-Length: 2\r\n\r\nok"
LINES = [line.encode("latin-1") for line in ODD_STATUS_LINES]
LINES += [b"HTTP/1.1 2000 OK", b"HTTP/1.1 1_0 OK", b"HTTP/1.1 -20 OK", b"HTTP/1.1"]
LINES += ["HTTP/1.1 ٢٠٠ OK".encode()]
GOOD_LINES = [b"HTTP/1.1 200 OK", b"HTTP/1.0 404 No", b"HTTP/1.1 599", b"HTTP/1.1 204 "]


@pytest.mark.parametrize("line", LINES)
def test_the_older_runtime_takes_no_odd_status_line(line):
    # Guards against: a caller gets an answer with a status that is none.
    with (
        scripted(Cut(line + REST)) as (connections, _),
        pytest.raises(TamarackhavenError),
    ):
        send(connections, outgoing(), never)


@pytest.mark.parametrize("line", LINES)
def test_the_client_of_a_fleet_takes_no_odd_status_line(line):
    outcomes, connection = send_requests(line + REST)
    assert outcomes == [RequestUnansweredError]
    assert not connection.is_open


@pytest.mark.parametrize("line", GOOD_LINES)
def test_answers_with_a_status_line_are_taken_by_both(line):
    assert is_status_line(line + b"\r\n")
    status = int(line.split(b" ")[1])
    with scripted(Cut(line + REST)) as (connections, _):
        assert send(connections, outgoing(), never).status == status
    (reply,), _ = send_requests(line + REST)
    assert reply.status == status


@pytest.mark.parametrize("status", [b"100 Continue", b"103 Early Hints"])
def test_a_status_line_after_an_interim_response_is_checked_too(status):
    # Guards against: what follows an interim response is taken unread, and one that
    # isn't asked for is taken for the answer.
    interim = b"HTTP/1.1 " + status + b"\r\n\r\n"
    odd = Cut(interim + b"HTTP/1.1 0200 OK" + REST)
    with scripted(odd) as (connections, _), pytest.raises(TamarackhavenError):
        send(connections, outgoing(), never)


def test_the_older_runtime_gives_up_on_endless_interim_responses():
    # Guards against: a target keeps a thread until the deadline.
    interim = b"HTTP/1.1 100 Continue\r\n\r\n"
    good = b"HTTP/1.1 200 OK" + REST
    with scripted(Cut(interim * 16 + good), Cut(interim * 17 + good)) as answers:
        assert send(answers[0], outgoing(), never).status == 200
        with pytest.raises(TamarackhavenError):
            send(answers[0], outgoing(), never)


def test_no_caller_of_a_fleet_gets_an_odd_status_line(tmp_path):
    # Guards against: a target in need answers with status 000, and its caller gets
    # that as an answer.
    async def test(fleet):
        for line in ODD_STATUS_LINES:
            for target in fleet.targets:
                target.odd_status_line = lambda line=line: line
            answers = [await fleet.ask("/shared/", None, at) for at in range(3)]
            answers.append(await fleet.ask("/owned/", 7, 1))
            assert {each.status for each in answers} <= {502, 503}, line

    services = ("owned", "shared", "shared")
    real_fleet.run(test, (tmp_path, services, 13), Fleet)


def test_simulated_callers_notice_an_odd_status_line():
    # Guards against: simulated callers that can't show the failure.
    async def main():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 000 OK" + REST)
            writer.close()

        port = PORTS["callers"]
        async with await asyncio.start_server(serve, "127.13.9.9", port):
            return await call("127.13.9.9", port, "GET", "/")

    assert asyncio.run(main()).status == NO_STATUS
