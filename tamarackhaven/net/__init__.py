"""Asyncio connections: framed links between processes, and HTTP/1.1."""

from tamarackhaven.net._body_budget import AnswerBudget
from tamarackhaven.net._http_client import (
    MAX_REQUESTS_PER_CONNECTION,
    ClientConnection,
    Reply,
    RequestNotSentError,
    RequestUnansweredError,
)
from tamarackhaven.net._http_messages import HttpRequest, HttpResponse
from tamarackhaven.net._http_server import HttpServer
from tamarackhaven.net._link import Link, LinkServer, dial
from tamarackhaven.net._listen import listen
from tamarackhaven.net._server_limits import (
    HEARTBEAT_LIMITS,
    ORDER_LIMITS,
    PROBE_LIMITS,
)
from tamarackhaven.net._wire import Codec, Packed

__all__ = [
    "HEARTBEAT_LIMITS",
    "MAX_REQUESTS_PER_CONNECTION",
    "ORDER_LIMITS",
    "PROBE_LIMITS",
    "AnswerBudget",
    "ClientConnection",
    "Codec",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "Link",
    "LinkServer",
    "Packed",
    "Reply",
    "RequestNotSentError",
    "RequestUnansweredError",
    "dial",
    "listen",
]
