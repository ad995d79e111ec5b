"""Runs an entry daemon before a target whose answers are broken, and looks at what
callers get."""

import subprocess

from entry_daemon import (STAMP, Fleet, call, check, command_of, documents, free_ports, is_ready,
                          make_store, serve, settings_file, wait_for, with_process)
from raw_target import head_of, raw_target, read_bytes, reset

# Also a chunk with a last one behind it.
BODY = b"4\r\nbody\r\n0\r\n\r\n"
LENGTH = "Content-Length: %d" % len(BODY)
# More than what the sockets buffer.
UPLOAD_BYTES = 16 << 20


def send(connection, request, **head):
    connection.sendall(head_of(request, **head) + b"\r\n" + BODY)
    if LENGTH in head["fields"]:
        # Otherwise the body ends with the connection.
        connection.recv(1)


def invalid_statuses():
    """Statuses that are none of HTTP, and 101, which no request asks for. One answer
    says "not run" besides, which only a sound answer may say."""
    fields = {"": [LENGTH], "-refusal": [LENGTH, "Acaciaferry-Not-Executed: 1"]}
    return {"status-%03d%s" % (status, suffix): dict(status="%03d Odd" % status, fields=more)
            for status in (0, 1, 99, 101, 600, 999) for suffix, more in fields.items()}


def invalid_names():
    """Lines whose name holds a blank, a control byte or another one that is no part of
    a token, in front of the field that frames the body and behind it."""
    lines = ["Foo Bar: x", "Foo : x", "Foo\t: x", "Fo\x00o: x", "Fo\x01o: x", "Fo\x7fo: x",
             "Fo\x80o: x", "Fo\ro: x", "Fo\no: x", ": x", "Foo", "Content-Length : 2",
             "Transfer-Encoding\x01: chunked", " Foo: x", "\tFoo: x"]
    return {"name-%d-%s" % (number, place): dict(fields=fields)
            for number, line in enumerate(lines)
            for place, fields in (("first", [line, LENGTH]), ("last", [LENGTH, line]))}


def other_codings():
    """Transfer codings that are unknown here, behind which the body is not the target's."""
    codings = ["gzip, chunked", "chunked, gzip", "gzip", "identity", "xchunked", ""]
    return {"coding-%d" % number: dict(fields=["Transfer-Encoding: " + coding])
            for number, coding in enumerate(codings)}


def resets_during_upload():
    """Answers without a length that are reset while the request is still written, after
    some of it was read."""
    return {"reset-%d" % count: dict(fields=[], reset_after=count)
            for count in (0, 300_000, UPLOAD_BYTES // 2)}


BROKEN = {**invalid_statuses(), **invalid_names(), **other_codings(),
          **resets_during_upload()}


def answer(connection, request, left):
    head = dict(BROKEN[request.name])
    reset_after = head.pop("reset_after", None)
    read_bytes(connection, left if reset_after is None else 0)
    send(connection, request, **head)
    if reset_after is not None:
        read_bytes(connection, reset_after)
        reset(connection)


def scenario(callers, ready):
    wait_for(lambda: is_ready(ready), "readiness")
    # Guards against a broken answer that its caller gets as one, that says "not run",
    # or that is waited for until the deadline.
    for name, sent in BROKEN.items():
        request = bytes(UPLOAD_BYTES) if "reset_after" in sent else b"b"
        status, body, got = call(callers, "/once/" + name, body=request, label=name)
        check((status, body, got.getheader(STAMP)) == (502, b"", None),
              "%s is no answer: %s %s" % (name, status, body))


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
