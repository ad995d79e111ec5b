"""A target whose answers are written byte by byte, so that they may be broken."""

import contextlib
import socket
import struct
import threading

from entry_daemon import STAMP


class Request:
    """The head of a request; its body is left on the connection."""

    def __init__(self, head):
        lines = head.decode().split("\r\n")
        pairs = (line.split(": ", 1) for line in lines[1:])
        fields = {name.lower(): value for name, value in pairs}
        self.method, self.path = lines[0].split()[:2]
        self.attempt = fields["acaciaferry-attempt-id"]
        self.body_bytes = int(fields.get("content-length", 0))

    @property
    def name(self):
        return self.path.split("/")[-1]


def read_head(connection):
    """Returns the head, and what has arrived of the body; None if the caller left."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = connection.recv(65536)
        if not more:
            return None
        data += more
    return data.split(b"\r\n\r\n", 1)


def read_bytes(connection, count):
    """Reads on and drops what it gets; less if the caller leaves."""
    while count > 0:
        more = connection.recv(min(count, 65536))
        if not more:
            return
        count -= len(more)


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


def head_of(request, status="200 OK", fields=(), attempt=None):
    """The head of an answer to the request, or to another one's attempt, without the
    empty line that ends it."""
    lines = ["HTTP/1.1 " + status, "Acaciaferry-Attempt-Id: " + (attempt or request.attempt),
             STAMP + ": s1"]
    return "".join(line + "\r\n" for line in [*lines, *fields]).encode("latin-1")


def raw_target(answer):
    """Calls answer(connection, request, left) in a thread of its own for each
    connection; left is the number of bytes of the body that are not read yet.
    Returns the address."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=256)

    def handle(connection):
        with contextlib.suppress(OSError), connection:
            arrived = read_head(connection)
            if arrived:
                request = Request(arrived[0])
                answer(connection, request, request.body_bytes - len(arrived[1]))

    def accept():
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=handle, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return "127.0.0.1:%d" % listener.getsockname()[1]
