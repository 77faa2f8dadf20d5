"""A TCP relay on loopback that counts what passes."""

import socket
import threading

import attrs

# IPv4 and TCP with timestamps; a segment without data is an acknowledgement.
SEGMENT_HEADERS = 52
_READ_BYTES = 65_536


@attrs.frozen
class Passed:
    """What passed: bytes and reads there and back."""

    sent: int
    received: int
    reads: int

    @property
    def on_the_wire(self):
        """Bytes with the headers of each segment and of its acknowledgement.

        At most: acknowledgements often ride on an answer or cover two segments.
        """
        return self.sent + self.received + 2 * self.reads * SEGMENT_HEADERS


class Relay:
    """Passes connections on to a port until the process ends."""

    def __init__(self, port):
        self._to = "127.0.0.1", port
        self._lock = threading.Lock()
        self._bytes = [0, 0]
        self._reads = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        _start(self._accept)

    def take(self):
        """Return what ``Passed`` since the last call."""
        with self._lock:
            passed = Passed(*self._bytes, self._reads)
            self._bytes, self._reads = [0, 0], 0
        return passed

    def _accept(self):
        while True:
            near, _ = self._listener.accept()
            far = socket.create_connection(self._to)
            for end in (near, far):
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            _start(self._pump, near, far, 0)
            _start(self._pump, far, near, 1)

    def _pump(self, source, to, way):
        try:
            while data := source.recv(_READ_BYTES):
                with self._lock:
                    self._bytes[way] += len(data)
                    self._reads += 1
                to.sendall(data)
        except OSError:
            return


def _start(target, *arguments):
    threading.Thread(target=target, args=arguments, daemon=True).start()
