"""A TCP relay on loopback that counts the relayed bytes and reads."""

import socket
import threading

import attrs

# Bytes of the IPv4 and TCP headers with timestamps, also the size of an acknowledgement
# without data.
SEGMENT_HEADER_BYTES = 52
_READ_BYTES = 65_536


@attrs.frozen
class Traffic:
    """Bytes sent and received, and the number of reads both ways."""

    sent: int
    received: int
    reads: int

    @property
    def on_the_wire(self):
        """Upper bound on the bytes with the headers of segments and acknowledgements.

        Each read is counted as a segment with its own acknowledgement, although an
        acknowledgement is often part of an answer or covers two segments.
        """
        return self.sent + self.received + 2 * self.reads * SEGMENT_HEADER_BYTES


class Relay:
    """Relays connections to a port on loopback until the process ends."""

    def __init__(self, port):
        self._destination = "127.0.0.1", port
        self._lock = threading.Lock()
        self._bytes = [0, 0]
        self._reads = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        _start(self._accept)

    def reset(self):
        """Return the traffic since the last call, and reset the counters."""
        with self._lock:
            traffic = Traffic(*self._bytes, self._reads)
            self._bytes, self._reads = [0, 0], 0
        return traffic

    def _accept(self):
        while True:
            accepted, _ = self._listener.accept()
            forwarded = socket.create_connection(self._destination)
            for connection in (accepted, forwarded):
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            _start(self._copy, accepted, forwarded, 0)
            _start(self._copy, forwarded, accepted, 1)

    def _copy(self, source, destination, direction):
        try:
            while data := source.recv(_READ_BYTES):
                with self._lock:
                    self._bytes[direction] += len(data)
                    self._reads += 1
                destination.sendall(data)
        except OSError:
            return


def _start(target, *arguments):
    threading.Thread(target=target, args=arguments, daemon=True).start()
