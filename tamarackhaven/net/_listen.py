"""Starts servers and reports the setting whose address can't be bound."""

from tamarackhaven.errors import ErrorKind, TamarackhavenError


async def listen(server, name, host, port):
    """Start a server; name the setting in the error if the address can't be bound.

    Parameters
    ----------
    server : HttpServer or LinkServer
        Must not have been started.
    name : str
        Name of the setting that holds the address.
    host, port : str, int
        Address to listen on.

    Raises
    ------
    TamarackhavenError
        PORT_TAKEN, naming the setting and the address.
    """
    try:
        await server.start(host, port)
    except OSError as error:
        raise TamarackhavenError(
            ErrorKind.PORT_TAKEN, f"{name}: {host}:{port}: {error}"
        ) from error
