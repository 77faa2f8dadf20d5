"""Starts a server on its address, or says which setting names a taken port."""

from tamarackhaven.errors import ErrorKind, TamarackhavenError


async def listen(server, name, host, port):
    """Start a server.

    Parameters
    ----------
    server : HttpServer or LinkServer
        Not yet started.
    name : str
        Of the setting that holds the address.
    host, port : str, int
        The address.

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
