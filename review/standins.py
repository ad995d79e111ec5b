"""Stand-ins for the platform, the engines and the requesters of a case.

They speak what PROTOCOL.md says, on loopback addresses. All of them run in one
process with one event loop; the daemons are processes of their own, started
with the command of deploy/system.toml and settings made from its template.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "bin", "acaciaferryd")
TEMPLATE = os.path.join(ROOT, "deploy", "acaciaferryd.ini.template")
STORE_MS = 4
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "ficu95.example"
KEYS = {"key-a": "tenant-a", "key-b": "tenant-b"}

# The bounds of the small sites.
CONTACT_S = 3.0
DRAIN_S = 2.0
CONFIG_S = 2.0
RECOVER_S = 12.0


class CannotRun(Exception):
    """The case could not be set up."""


def free_ports(count, ips):
    """Ports that are free at all of these loopback addresses, for TCP and UDP."""
    ports = []
    held = []
    while len(ports) < count:
        with socket.socket() as first:
            first.bind((ips[0], 0))
            port = first.getsockname()[1]
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    held.append(socket.socket(socket.AF_INET, kind))
                    held[-1].bind((ip, port))
        except OSError:
            continue
        ports.append(port)
    for each in held:
        each.close()
    return ports


class Record:
    """Lines with the time since the start of the case, in seconds."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)


async def read_message(reader):
    """Reads the start line, the fields and the body of a message with a length."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                break
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return lines[0], fields, body


def message(status, fields, body=b""):
    text = "HTTP/1.1 %d Status\r\n" % status
    for name, value in fields:
        text += "%s: %s\r\n" % (name, value)
    return text.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body


def reset(writer):
    """Ends a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    writer.close()


class Store:
    """The platform's metadata store, as far as it can be read."""

    def __init__(self, record):
        self.record = record
        self.revision = 400
        self.items = {}
        self.events = []
        self.changed = asyncio.Event()
        self.down = False
        self.connections = set()
        self.address = None
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value):
        """Returns when the store has accepted the value."""
        self.revision += 1
        item = {"key": key, "value": base64.b64encode(json.dumps(value).encode()).decode(),
                "revision": self.revision, "created_at": self.revision, "lease": 0}
        self.items[key] = item
        self.events.append(item)
        self.wake()
        return self.record.now()

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self.events.append({"key": key, "revision": self.revision, "removed": True})
        self.wake()
        return self.record.now()

    def go_down(self):
        """All calls get a 503, and so do the watches that wait."""
        self.down = True
        self.wake()

    def come_back(self):
        self.down = False

    def cut_watches(self):
        """Ends the channels of the watches that wait; new ones are served."""
        for writer in list(self.connections):
            writer.close()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, _, _ = await read_message(reader)
                status, value = await self.answer(line.split(" ")[1])
                writer.write(message(status, [("Content-Type", "application/json")],
                                     json.dumps(value).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, target):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        prefix = query.get("path_prefix", "")
        await asyncio.sleep(STORE_MS / 1000)
        if self.down:
            return 503, {}
        if url.path == "/api/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(prefix) and key > query.get("after", ""))
            return 200, {"items": [self.items[key] for key in keys[:500]],
                         "has_more": len(keys) > 500, "store_revision": self.revision}
        if url.path == "/api/kv-watch":
            return await self.watch(prefix, int(query["after"]), int(query["wait_ms"]) / 1000)
        return 404, {}

    async def watch(self, prefix, after, wait):
        until = time.monotonic() + wait
        while True:
            events = [each for each in self.events
                      if each["revision"] > after and each["key"].startswith(prefix)]
            left = until - time.monotonic()
            if self.down:
                return 503, {}
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Run:
    """A request that an engine began to work on."""

    def __init__(self, at, engine, attempt, line, fields, body):
        self.at = at
        self.engine = engine
        self.attempt = attempt
        self.line = line
        self.fields = fields
        self.body = body


class Engine:
    """An engine of a service. It registers itself in the store."""

    def __init__(self, record, store, name, service, work_ms=20, zone="zone-a"):
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.work_ms = work_ms
        self.zone = zone
        self.runs = []
        self.writers = set()
        self.address = None
        self.server = None
        self.loses_answer = None
        self.count = 0
        self.running = 0
        self.most_running = 0
        self.born = int(time.time() * 1000)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.register()

    def register(self):
        self.store.put("servers/" + self.name, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": 16, "state": "ready", "cold_left_ms": 0, "seq": 1,
            "born": self.born})

    def exit(self):
        """Ends the process: connections that are open are reset."""
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, fields, body = await read_message(reader)
                await self.handle(line, fields, body, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, line, fields, body, writer):
        attempt = fields.get("acaciaferry-attempt-id", "")
        if fields.get("acaciaferry-expect-instance", self.name) != self.name:
            writer.write(message(421, [("Acaciaferry-Instance-Id", self.name),
                                       ("Acaciaferry-Not-Executed", "1")]))
            return
        if not attempt:
            writer.write(message(400, [("Acaciaferry-Not-Executed", "1")]))
            return
        self.runs.append(Run(self.record.now(), self, attempt, line, fields, body))
        self.record("%s runs %s (%s)" % (self.name, attempt, line))
        self.count += 1
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            await self.work(attempt, line, fields, writer)
        finally:
            self.running -= 1

    async def work(self, attempt, line, fields, writer):
        await asyncio.sleep(self.work_ms / 1000)
        if self.loses_answer is not None and self.loses_answer():
            self.record("%s loses the answer to %s" % (self.name, attempt))
            reset(writer)
            raise ConnectionResetError
        writer.write(message(200, [("Acaciaferry-Attempt-Id", attempt),
                                   ("Acaciaferry-Engine-Stamp", "%s.%d" % (self.name, self.count))],
                             b"done by " + self.name.encode()))
        await writer.drain()


class Answer:
    """How a request ended: a status, or None if its channel did."""

    def __init__(self, sent, at, attempt, status, fields, body, vm):
        self.sent = sent
        self.at = at
        self.attempt = attempt
        self.status = status
        self.fields = fields
        self.body = body
        self.vm = vm


class Requesters:
    """Send requests to the daemons, each on a channel of its own."""

    def __init__(self, record):
        self.record = record
        self.answers = []
        self.next = 0
        self.tasks = set()

    def start(self, vm, method, path, key="key-a", limit_ms=1000, body=b"", fields=()):
        self.next += 1
        task = asyncio.create_task(
            self.send(vm, "r%06d" % self.next, method, path, key, limit_ms, body, fields))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def send(self, vm, attempt, method, path, key, limit_ms, body, fields):
        sent = self.record.now()
        self.record("%s is sent to %s: %s %s" % (attempt, vm.name, method, path))
        status, got, data = None, {}, b""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(vm.ip, vm.ports[0]), 1.0)
            head = "%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, path, HOST)
            head += "Acaciaferry-Attempt-Id: %s\r\nAcaciaferry-Deadline-Ms: %d\r\n" % (
                attempt, limit_ms)
            head += "Authorization: Token %s\r\n" % key
            for name, value in fields:
                head += "%s: %s\r\n" % (name, value)
            if body or method != "GET":
                head += "Content-Length: %d\r\n" % len(body)
            writer.write(head.encode() + b"\r\n" + body)
            line, got, data = await asyncio.wait_for(
                read_message(reader), limit_ms / 1000 + 0.25)
            status = int(line.split(" ")[1])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer is not None:
                writer.close()
        answer = Answer(sent, self.record.now(), attempt, status, got, data, vm)
        self.answers.append(answer)
        self.record("%s by %s at %s: %s after %d ms" % (
            attempt, vm.name, path, status, (answer.at - sent) * 1000))
        return answer

    async def finish(self):
        if self.tasks:
            await asyncio.wait(list(self.tasks))


def fill(template, values):
    """Fills the plain placeholders of a template."""

    def value_of(match):
        value = values
        for part in match.group(1).split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    return re.sub(r"{{([a-z_.0-9]+)}}", value_of, template)


class Vm:
    """An entry VM: one daemon with the settings of a small deployment."""

    def __init__(self, record, folder, name, ip, zone, ports, seeds, store):
        self.record = record
        self.folder = folder
        self.name = name
        self.ip = ip
        self.zone = zone
        self.ports = ports
        self.seeds = seeds
        self.store = store
        self.process = None
        self.log = None
        self.starts = 0

    def start(self):
        front, ready, control, first = self.ports
        with open(TEMPLATE, encoding="utf-8") as file:
            template = file.read()
        settings = fill(template, {
            "node": self.name, "zone": self.zone, "ip": self.ip,
            "limits": {"cpu_share": 0.25},
            "bounds": {"grace_s": 8, "retry_ratio": 0.2, "budget_window_s": 10,
                       "retry_slack": 102, "max_idle_ms": 9000},
            "listen": {"front": "%s:%d" % (self.ip, front),
                       "ready_addr": "%s:%d" % (self.ip, ready),
                       "control": "%s:%d" % (self.ip, control)},
            "port_range": [first, first], "seed_nodes": self.seeds,
            "platform": {"address": self.store}})
        path = os.path.join(self.folder, self.name + ".ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        self.starts += 1
        self.log = open(os.path.join(self.folder, "%s.%d.log" % (self.name, self.starts)), "wb")
        self.process = subprocess.Popen([PROGRAM, "-c", path], stdout=self.log,
                                        stderr=subprocess.STDOUT, cwd=ROOT)
        self.record("%s starts" % self.name)

    def end(self):
        if self.process is None:
            return
        if self.process.poll() is not None:
            self.record("%s had ended by itself: %s" % (self.name, self.process.returncode))
            return
        self.process.kill()
        self.process.wait()
        self.record("%s ran until it was ended here" % self.name)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ports[1])
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: r\r\n\r\n")
            line, _, _ = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return line.split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


def make_vms(record, folder, store, zones):
    """One VM for each zone named, all on the same ports."""
    ips = ["127.0.0.%d" % (number + 1) for number in range(len(zones))]
    ports = free_ports(4, ips)
    seeds = ["%s:%d" % (ip, ports[2]) for ip in ips[:3]]
    return [Vm(record, folder, "front-%s-%d" % (zone, number + 1), ip, zone, ports, seeds,
               store.address)
            for number, (zone, ip) in enumerate(zip(zones, ips))]


async def wait_until_ready(vms, limit=20):
    until = time.monotonic() + limit
    for vm in vms:
        while not await vm.is_ready():
            if time.monotonic() > until or vm.process.poll() is not None:
                raise CannotRun("%s does not become ready" % vm.name)
            await asyncio.sleep(0.05)


def route(name, prefix, service, kind, **more):
    made = {"name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_ms": 1000,
            "target_latency_ms": 150, "priority": 1, "service": service,
            "max_attempts": 1 if kind == "non_idempotent" else 2, "public": False}
    made.update(more)
    return made


def configuration(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/health", "max_conns": 49}
                         for name in services],
            "limits": {"header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": tenant, "api_keys": [key], "priority": 1}
                        for key, tenant in KEYS.items()]}


def run_case(file, scenario):
    """Runs `await scenario(record, folder)`, which returns whether the rule was broken."""
    folder = os.path.dirname(os.path.abspath(file))
    record = Record(folder)
    if not os.path.exists(PROGRAM):
        print("the program is not built: target/bin/acaciaferryd")
        sys.exit(NOT_RUN)
    try:
        # The daemons are ended by the scenario, also when it is cancelled.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
        with tempfile.TemporaryDirectory() as settings:
            broken = asyncio.run(asyncio.wait_for(scenario(record, settings), 110))
    except Exception as error:  # Status 1 is for a broken rule only.
        record.say("the case could not run: %r" % error)
        sys.exit(NOT_RUN)
    sys.exit(BROKEN if broken else HELD)
