#!/usr/bin/env python3
"""Measures what control costs each daemon, and how fast a revision spreads.

Starts daemons, the platform stand-in and one process that answers the load
requests of all targets, all on loopback. Prints one JSON line for each size.
"""
import argparse
import asyncio
import json
import os
import random
import socket
import statistics
import subprocess
import sys
import tempfile
import time
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# Of each message on the wire: 8 bytes nng, 20 IP, 32 TCP with time stamps.
HEADER_BYTES = 60
TARGETS_PER_VM = 1600 / 360
POOLS = 6
TICKS = os.sysconf("SC_CLK_TCK")


def free_ports(count):
    """Ports below the ephemeral range, which no connection takes meanwhile."""
    ports = []
    for port in random.sample(range(20000, 32000), 12000):
        with socket.socket() as each:
            try:
                each.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise RuntimeError("not enough free ports")


async def answer_loads(names):
    """Answers GET /v1/load for each target on a port of its own."""
    rng = random.Random(7)
    sequences = dict.fromkeys(names, 0)

    def report(name):
        sequences[name] += 1
        return json.dumps({
            "target": name, "incarnation": 0x01938F2A7C00BEEF, "state": "serving",
            "sequence": sequences[name], "running": rng.randrange(64),
            "waiting": rng.randrange(32), "queued_prefill_tokens": rng.randrange(10**6),
            "kv_used_tokens": rng.randrange(400000), "kv_capacity_tokens": 400000,
            "prefill_tokens_per_s": 8000.0, "decode_ms_per_token": 25.0,
            "models": ["batch-model"], "fencing": 12}).encode()

    def handler(name):
        async def handle(reader, writer):
            try:
                await reader.readuntil(b"\r\n\r\n")
                body = report(name)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                             b"Connection: close\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            finally:
                writer.close()
        return handle

    servers = [await asyncio.start_server(handler(name), "127.0.0.1", 0, backlog=16)
               for name in names]
    print(json.dumps([each.sockets[0].getsockname()[1] for each in servers]), flush=True)
    await asyncio.Event().wait()


def metrics(address):
    with urllib.request.urlopen(f"http://{address}/metrics", timeout=10) as reply:
        lines = reply.read().decode().splitlines()
    return {name: float(value) for name, value in
            (line.rsplit(" ", 1) for line in lines if not line.startswith("#"))}


def processor_seconds(pid):
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid):
    with open(f"/proc/{pid}/statm") as statm:
        return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20


class Fleet:
    def __init__(self, work, programs, vms, domains, targets, document):
        self.work, self.document, self.processes = work, document, []
        self.path = os.path.join(work, "configuration.json")
        self.publish(1)
        vm_file = os.path.join(work, "vms.json")
        names = [f"engine-{i:04}" for i in range(targets)]
        loads = self.spawn([sys.executable, __file__, "--answer-loads", str(targets)])
        ports = json.loads(loads.stdout.readline())
        ports_of_vms = free_ports(2 * vms)
        peers, operators = ports_of_vms[:vms], ports_of_vms[vms:]
        self.operators = [f"127.0.0.1:{port}" for port in operators]
        place = lambda i: f"domain-{i % domains}"
        entries = [{"name": f"vm-{i:03}", "address": f"127.0.0.1:{peers[i]}",
                    "failure_domain": place(i), "region": "central-tx", "role": "entry",
                    "state": "live"} for i in range(vms)]
        entries += [{"name": name, "address": f"127.0.0.1:{ports[i]}",
                     "failure_domain": place(i), "region": "central-tx", "role": "engine",
                     "pool": f"model-{i // domains % POOLS}", "state": "live",
                     "incarnation": 0x01938F2A7C00BEEF} for i, name in enumerate(names)]
        with open(vm_file, "w") as out:
            json.dump({"vms": entries}, out)
        platform = self.spawn([os.path.join(programs, "acaciaferry-standin-platform"), "--address",
                               "127.0.0.1:0", "--vms", vm_file, "--configuration", self.path])
        port = platform.stdout.readline().decode().strip().split("=")[1]
        with open(os.path.join(work, "key"), "w") as out:
            out.write("a key for the measurement")
        self.daemons = []
        for i in range(vms):
            settings = os.path.join(work, f"vm{i}.ini")
            with open(settings, "w") as out:
                out.write(f"[vm]\nname = vm-{i:03}\nfailure_domain = {place(i)}\n"
                          f"region = central-tx\ndrain_grace_ms = 100\n"
                          f"[callers]\naddress = 127.0.0.1:0\n"
                          f"[operators]\naddress = {self.operators[i]}\n"
                          f"[peers]\naddress = 127.0.0.1:{peers[i]}\nkey_file = {work}/key\n"
                          f"[platform]\nvm_list = 127.0.0.1:{port}\n"
                          f"configuration_service = 127.0.0.1:{port}\n[logs]\nlevel = error\n")
            self.daemons.append(self.spawn([os.path.join(programs, "acaciaferryd"), "--config",
                                            settings]))

    def spawn(self, command):
        process = subprocess.Popen(command, stdout=subprocess.PIPE)
        self.processes.append(process)
        return process

    def publish(self, revision):
        text = self.document.replace("short_weight = ", f"; revision {revision}\nshort_weight = ")
        with open(self.path + ".new", "w") as out:
            json.dump({"revision": revision, "document": text}, out)
        os.rename(self.path + ".new", self.path)

    def await_revision(self, revision, limit_s):
        """Returns the seconds until every daemon has it, or None."""
        start = time.monotonic()
        waiting = list(self.operators)
        while waiting and time.monotonic() - start < limit_s:
            waiting = [address for address in waiting
                       if self.revision(address) < revision]
            time.sleep(0.01)
        return None if waiting else time.monotonic() - start

    @staticmethod
    def revision(address):
        try:
            return metrics(address)["acaciaferry_configuration_revision"]
        except OSError:
            return 0

    def check_alive(self):
        for i, process in enumerate(self.daemons):
            if process.poll() is not None:
                raise RuntimeError(f"daemon vm-{i:03} ended with {process.returncode}")

    def sample(self):
        self.check_alive()
        return [(metrics(address), processor_seconds(process.pid))
                for address, process in zip(self.operators, self.daemons)]

    def stop(self):
        for process in self.processes:
            process.terminate()
        for process in self.processes:
            process.wait()


def measure(fleet, seconds):
    before, start = fleet.sample(), time.monotonic()
    time.sleep(seconds)
    after, elapsed = fleet.sample(), time.monotonic() - start
    name = "acaciaferry_peer_{}_total".format

    def rates(key):
        return [(b[0][key] - a[0][key]) / elapsed for a, b in zip(before, after)]

    sent = [size + HEADER_BYTES * count for size, count in
            zip(rates(name("sent_bytes")), rates(name("sent_messages")))]
    received = [size + HEADER_BYTES * count for size, count in
                zip(rates(name("received_bytes")), rates(name("received_messages")))]
    cores = [(b[1] - a[1]) / elapsed for a, b in zip(before, after)]
    both = [a + b for a, b in zip(sent, received)]
    listed = rates("acaciaferry_vm_list_bytes_total")
    reads = rates("acaciaferry_configuration_reads_total")
    summary = lambda values, scale: {
        "mean": round(statistics.mean(values) * scale, 3), "max": round(max(values) * scale, 3)}
    return {"peers_sent_kb_per_s": summary(sent, 1e-3),
            "peers_received_kb_per_s": summary(received, 1e-3),
            "peers_both_kb_per_s": summary(both, 1e-3),
            "vm_list_kb_per_s": summary(listed, 1e-3),
            "core_percent": summary(cores, 100),
            "configuration_reads_per_s": round(sum(reads), 2),
            "dropped_messages": sum(b[0][name("dropped_messages")] - a[0][name("dropped_messages")]
                                    for a, b in zip(before, after)),
            "resident_mb": summary([resident_mb(p.pid) for p in fleet.daemons], 1)}


def run(args, vms):
    domains = max(args.domains, 1)
    targets = 18 if vms <= 7 else round(vms * TARGETS_PER_VM)
    with open(os.path.join(ROOT, "examples", "works", "deployment.ini")) as source:
        document = source.read()
    document += "".join(f"\n[workspace.filler-{i:05}]\ntoken_digest = {i:064x}\nweight = 1\n"
                        for i in range(args.workspaces))
    with tempfile.TemporaryDirectory() as work:
        fleet = Fleet(work, args.bin, vms, domains, targets, document)
        try:
            started = fleet.await_revision(1, 60)
            time.sleep(args.warm_up)
            result = {"vms": vms, "domains": domains, "targets": targets,
                      "document_bytes": len(document), "all_configured_after_s": started}
            result.update(measure(fleet, args.seconds))
            times = []
            for revision in range(2, 2 + args.revisions):
                fleet.publish(revision)
                times.append(fleet.await_revision(revision, 30))
                time.sleep(1)
            result["revision_in_force_s"] = [t if t is None else round(t, 2) for t in times]
        finally:
            fleet.stop()
    print(json.dumps(result), flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--vms", type=int, nargs="+", default=[7, 30, 100])
    parser.add_argument("--bin", default=os.path.join(ROOT, "build", "bin"))
    parser.add_argument("--domains", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--warm-up", type=float, default=15)
    parser.add_argument("--revisions", type=int, default=5)
    parser.add_argument("--workspaces", type=int, default=0)
    parser.add_argument("--answer-loads", type=int, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.answer_loads is not None:
        asyncio.run(answer_loads([f"engine-{i:04}" for i in range(args.answer_loads)]))
    if any(vms > 120 for vms in args.vms):
        parser.error("at most 120 daemons")
    for vms in args.vms:
        run(args, vms)


if __name__ == "__main__":
    main()
