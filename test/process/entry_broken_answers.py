"""Runs an entry daemon before a target whose answers are broken, or unusual and sound,
and looks at what callers get."""

import dataclasses
import socket
import subprocess

from entry_daemon import (STAMP, Fleet, call, check, command_of, documents, free_ports, is_ready,
                          make_store, serve, settings_file, wait_for, with_process)
from raw_target import head_of, raw_target, read_bytes, reset

# Also a chunk with a last one behind it.
BODY = b"4\r\nbody\r\n0\r\n\r\n"
LENGTH = "Content-Length: %d" % len(BODY)
CHUNKED = "Transfer-Encoding: chunked"
# More than what the sockets buffer.
UPLOAD_BYTES = 16 << 20
# Longer than any body that the daemon collects.
LARGE_BYTES = 20_000_000


@dataclasses.dataclass
class Answer:
    """What the target sends, and when: it may begin before it has read the request."""

    fields: list
    status: str = "200 OK"
    interim: tuple = ()
    body: bytes = BODY
    is_early: bool = False
    # Bytes of the request that are read before the connection is reset.
    reset_after: int = None

    def send(self, connection, request, left):
        read_bytes(connection, 0 if self.is_early else left)
        for status in self.interim:
            connection.sendall(head_of(request, status) + b"\r\n")
        connection.sendall(head_of(request, self.status, self.fields) + b"\r\n" + self.body)
        if self.reset_after is not None:
            read_bytes(connection, self.reset_after)
            reset(connection)
        elif self.fields:
            # The daemon closes the connection.
            read_bytes(connection, LARGE_BYTES)
        else:
            connection.shutdown(socket.SHUT_WR)
            read_bytes(connection, left if self.is_early else 0)


def invalid_statuses():
    """Statuses that are none of HTTP, and 101, which no request asks for. One answer
    says "not run" besides, which only a sound answer may say."""
    fields = {"": [LENGTH], "-refusal": [LENGTH, "Acaciaferry-Not-Executed: 1"]}
    return {"status-%03d%s" % (status, suffix): Answer(more, "%03d Odd" % status)
            for status in (0, 1, 99, 101, 600, 999) for suffix, more in fields.items()}


def invalid_names():
    """Lines whose name holds a blank, a control byte or another one that is no part of
    a token, in front of the field that frames the body and behind it."""
    lines = ["Foo Bar: x", "Foo : x", "Foo\t: x", "Fo\x00o: x", "Fo\x01o: x", "Fo\x7fo: x",
             "Fo\x80o: x", "Fo\ro: x", "Fo\no: x", ": x", "Foo", "Content-Length : 2",
             "Transfer-Encoding\x01: chunked", " Foo: x", "\tFoo: x"]
    return {"name-%d-%s" % (number, place): Answer(fields)
            for number, line in enumerate(lines)
            for place, fields in (("first", [line, LENGTH]), ("last", [LENGTH, line]))}


def other_codings():
    """Transfer codings that are unknown here, behind which the body is not the target's."""
    codings = ["gzip, chunked", "chunked, gzip", "gzip", "identity", "xchunked", ""]
    return {"coding-%d" % number: Answer(["Transfer-Encoding: " + coding])
            for number, coding in enumerate(codings)}


def resets_during_upload():
    """Answers without a length that are reset while the request is still written, after
    some of it was read."""
    return {"reset-%d" % count: Answer([], is_early=True, reset_after=count)
            for count in (0, 300_000, UPLOAD_BYTES // 2)}


BROKEN = {**invalid_statuses(), **invalid_names(), **other_codings(), **resets_during_upload()}

# With the method of the request, and the status, body and length that the caller gets.
WHOLE = (200, BODY, str(len(BODY)))
SOUND = {
    "length": ("POST", Answer([LENGTH]), WHOLE),
    "closed": ("POST", Answer([]), WHOLE),
    "chunked": ("POST", Answer(["Trailer: Sum", CHUNKED],
                               body=b"4\r\nbody\r\n0\r\nSum: 1\r\n\r\n"), (200, b"body", "4")),
    "obs-text": ("POST", Answer(["Note: caf\xe9\ta", LENGTH]), WHOLE),
    "interim": ("POST", Answer([LENGTH], interim=("100 Continue", "103 Early Hints")), WHOLE),
    "last-status": ("POST", Answer([LENGTH], "599 Odd"), (599, *WHOLE[1:])),
    "head": ("HEAD", Answer(["Content-Length: %d" % LARGE_BYTES], body=b""),
             (200, b"", str(LARGE_BYTES))),
    "no-content": ("POST", Answer(["Note: x"], "204 No Content", body=b""), (204, b"", None)),
    "not-modified": ("GET", Answer(["Content-Length: 7"], "304 Not Modified", body=b""),
                     (304, b"", "7")),
    "early-refusal": ("POST", Answer([LENGTH], "413 Content Too Large", is_early=True),
                      (413, *WHOLE[1:])),
    "early-closed": ("POST", Answer([], is_early=True), WHOLE),
}


def answer(connection, request, left):
    sent = BROKEN[request.name] if request.name in BROKEN else SOUND[request.name][1]
    sent.send(connection, request, left)


def result_of(callers, name, sent, method="POST"):
    request = bytes(UPLOAD_BYTES) if sent.is_early else b"b"
    status, body, head = call(callers, "/once/" + name, body=request, label=name, method=method)
    return head.getheader(STAMP), (status, body, head.getheader("Content-Length"))


def scenario(callers, ready):
    wait_for(lambda: is_ready(ready), "readiness")
    # Guards against a broken answer that its caller gets as one, that says "not run",
    # or that is waited for until the deadline.
    for name, sent in BROKEN.items():
        stamp, got = result_of(callers, name, sent)
        check((stamp, got) == (None, (502, b"", "0")), "%s is no answer: %s" % (name, got))

    # Guards against a sound answer that counts as broken, or that is waited for until the
    # deadline.
    for name, (method, sent, expected) in SOUND.items():
        stamp, got = result_of(callers, name, sent, method)
        check((stamp, got) == ("s1", expected), "%s is an answer: %s" % (name, got))


def main():
    published = documents([raw_target(answer)])
    published["op/config"]["limits"]["max_body_bytes"] = UPLOAD_BYTES
    _, store = serve(make_store(published))
    ports = tuple(free_ports(4))
    with settings_file("127.0.0.1", ports, store) as file:
        with_process(subprocess.Popen(command_of(file), stdout=subprocess.DEVNULL), Fleet(),
                     lambda _: scenario(*ports[:2]))


if __name__ == "__main__":
    main()
