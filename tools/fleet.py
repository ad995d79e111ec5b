#!/usr/bin/env python3
"""Starts a whole deployment on loopback and runs load against it."""

import argparse
import contextlib
import dataclasses
import hashlib
import json
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = ROOT / "build" / "bin"
START_TIMEOUT_S = 30
STOP_TIMEOUT_S = 15
ENTRY_VMS = 7
SERVICE_TARGETS = 3
# At this speed a million tokens are prefilled in about five seconds.
ENGINE_SPEED = 10
OPERATORS_TOKEN = "operator"


@dataclasses.dataclass(frozen=True)
class Deployment:
    """What differs between the deployments of section 1.1 of the design."""

    region: str
    domains: tuple
    engines: int
    model: str
    service: str
    mutating_path: str
    reading_path: str
    checks_fencing: bool


DEPLOYMENTS = {
    "works": Deployment("central-tx", ("tx-a", "tx-b", "tx-c"), 15, "batch-model", "kiosk",
                        "/vat-release", "/stock", True),
    "trust": Deployment("addis", ("addis-a", "addis-b", "addis-c"), 25, "drafting-model",
                        "permit-ledger", "/permits", "/permits", False),
}


class FleetError(Exception):
    """A process of the fleet did not start or stop as it should."""


@dataclasses.dataclass
class Member:
    """One process of the fleet."""

    name: str
    role: str
    domain: str
    command: list
    log: pathlib.Path
    process: subprocess.Popen = None
    address: str = ""
    operators_address: str = ""
    peers_address: str = ""
    incarnation: int = 0
    listed_state: str = "live"

    def start(self):
        with open(self.log, "ab") as log:
            offset = log.tell()
            self.process = subprocess.Popen(self.command, stdout=log, stderr=subprocess.STDOUT,
                                            stdin=subprocess.DEVNULL, start_new_session=True)
        self.address = f"127.0.0.1:{self._wait_for_port(offset)}"
        self.incarnation = self._read_incarnation(offset)

    def _wait_for_port(self, offset):
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end:
            text = self.log.read_bytes()[offset:].decode(errors="replace")
            for word in text.split():
                if word.startswith("port=") and word[5:].isdigit():
                    return int(word[5:])
            if self.process.poll() is not None:
                break
            time.sleep(0.02)
        raise FleetError(f"{self.name} did not start; see {self.log}")

    def _read_incarnation(self, offset):
        if self.role == "entry":
            text = self.log.read_bytes()[offset:].decode(errors="replace")
            return int(next(word for word in text.split() if word.startswith("incarnation="))[12:])
        if self.role == "platform":
            return 0
        with urllib.request.urlopen(f"http://{self.address}/v1/load", timeout=10) as reply:
            return json.load(reply)["incarnation"]

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)


def free_addresses(count):
    """Returns loopback addresses whose ports no outgoing connection takes."""
    addresses = []
    for port in random.sample(range(20000, 32000), 12000):
        with socket.socket() as each:
            try:
                each.bind(("127.0.0.1", port))
            except OSError:
                continue
        addresses.append(f"127.0.0.1:{port}")
        if len(addresses) == count:
            return addresses
    raise FleetError("there are not enough free ports")


def control(address, verb, body=None):
    """Sends a control switch to a stand-in and returns its state."""
    request = urllib.request.Request(f"http://{address}/control/{verb}", method="POST",
                                     data=json.dumps(body or {}).encode())
    with urllib.request.urlopen(request, timeout=10) as reply:
        return json.load(reply)


class Fleet:
    """Three failure domains with entry VMs, engines, services and a platform."""

    def __init__(self, name, directory):
        self.deployment_name = name
        self.deployment = DEPLOYMENTS[name]
        self.directory = pathlib.Path(directory)
        self.members = []
        self.configuration_file = self.directory / "configuration.json"
        self.key_file = self.directory / "key"
        self.token_file = self.directory / "operators"

    # Start and stop

    def start(self):
        self.key_file.write_text("the key of a deployment on loopback\n")
        self.token_file.write_text(hashlib.sha256(OPERATORS_TOKEN.encode()).hexdigest() + "\n")
        self._start_targets()
        self.write_configuration(1, self.first_document())
        self._start_platforms()
        for number in range(ENTRY_VMS):
            self._start_entry(number)
        self.write_vm_list()
        self._wait_until_ready()

    # All domains read one platform, unless a subclass gives each its own.
    def platform_name(self, _domain):
        return "platform"

    def _start_platforms(self):
        for domain in self.deployment.domains:
            name = self.platform_name(domain)
            if any(member.name == name for member in self.members):
                continue
            vms = self.directory / f"{name}-vms.json"
            vms.write_text('{"vms": []}')
            self._add(name, "platform", domain, [
                BIN / "acaciaferry-standin-platform", "--address", "127.0.0.1:0",
                "--vms", vms, "--configuration", self.configuration_file,
                "--vm-lag-ms", self.vm_lag_ms]).start()

    def platform_of(self, domain):
        name = self.platform_name(domain)
        return next(member for member in self.members if member.name == name)

    vm_lag_ms = 0

    def first_document(self):
        return (ROOT / "examples" / self.deployment_name / "deployment.ini").read_text()

    def stop(self):
        """Ends the daemons first, so that they can finish their requests."""
        for roles in (("entry",), ("engine", "service", "platform")):
            chosen = [member for member in self.members if member.role in roles]
            for member in chosen:
                member.signal(signal.SIGCONT)
                member.signal(signal.SIGTERM)
            end = time.monotonic() + STOP_TIMEOUT_S
            for member in chosen:
                if member.process is None:
                    continue
                try:
                    member.process.wait(max(end - time.monotonic(), 0.01))
                except subprocess.TimeoutExpired:
                    print(f"fleet: {member.name} did not stop, killing it", file=sys.stderr)
                    member.process.kill()
                    member.process.wait()

    def _add(self, name, role, domain, command):
        member = Member(name, role, domain, [str(part) for part in command],
                        self.directory / f"{name}.log")
        self.members.append(member)
        return member

    def _start_targets(self):
        kind = self.deployment
        for number in range(kind.engines):
            command = [BIN / "acaciaferry-standin-engine", "--address", free_addresses(1)[0],
                       "--name", f"engine{number}", "--model", f"{kind.model}@v1",
                       "--speed", ENGINE_SPEED, "--report-lag-ms", 300,
                       "--event-lag-ms", 500, "--event-loss-per-mille", 10]
            command += [] if kind.checks_fencing else ["--ignore-fencing"]
            self._add(f"engine{number}", "engine", self._domain(number), command).start()
        for number in range(SERVICE_TARGETS):
            self._add(f"service{number}", "service", self._domain(number), [
                BIN / "acaciaferry-standin-service", "--address", free_addresses(1)[0],
                "--name", f"service{number}"]).start()

    def _domain(self, number):
        domains = self.deployment.domains
        return domains[number % len(domains)]

    def _start_entry(self, number):
        name = f"entry{number}"
        settings = self.directory / f"{name}.ini"
        member = self._add(name, "entry", self._domain(number),
                           [BIN / "acaciaferryd", "--config", settings])
        # A VM keeps its addresses over restarts.
        platform = self.platform_of(member.domain).address
        callers, member.operators_address, member.peers_address = free_addresses(3)
        settings.write_text("\n".join([
            "[vm]", f"name = {name}", f"failure_domain = {member.domain}",
            f"region = {self.deployment.region}", f"drain_grace_ms = {self.drain_grace_ms}",
            "[callers]", f"address = {callers}",
            "[operators]", f"address = {member.operators_address}",
            f"token_file = {self.token_file}",
            "[peers]", f"address = {member.peers_address}", f"key_file = {self.key_file}",
            "[platform]", f"vm_list = {platform}", f"configuration_service = {platform}", ""]))
        member.start()

    drain_grace_ms = 500

    def try_completion(self, member):
        """Sends a tiny completion and returns the reply's text."""
        body = json.dumps({"model": self.deployment.model, "prompt": "ready?", "max_tokens": 1})
        request = urllib.request.Request(f"http://{member.address}/v1/completions",
                                         data=body.encode(),
                                         headers={"Authorization": "Bearer secret"})
        try:
            with urllib.request.urlopen(request, timeout=10) as reply:
                return reply.read().decode()
        except urllib.error.HTTPError as error:
            return error.read().decode()
        except OSError as error:
            return f"no_configuration: {error}"

    def _wait_until_ready(self):
        end = time.monotonic() + START_TIMEOUT_S
        for member in self.by_role("entry"):
            while '"choices"' not in (reply := self.try_completion(member)):
                if time.monotonic() > end:
                    raise FleetError(f"{member.name} is not ready: {reply}")
                time.sleep(0.1)

    # What tests may change while the fleet runs

    def by_role(self, role):
        return [member for member in self.members if member.role == role]

    def write_vm_list(self):
        """Lists the members that have been started, as each platform sees them."""
        kind = self.deployment
        pools = {"engine": kind.model, "service": kind.service, "entry": ""}
        listed = [member for member in self.members if member.role in pools and member.address]
        for platform in self.by_role("platform"):
            vms = [{"name": member.name, "address": self.address_for(platform.domain, member),
                    "failure_domain": member.domain, "region": kind.region, "role": member.role,
                    "pool": pools[member.role], "state": member.listed_state,
                    "incarnation": member.incarnation} for member in listed]
            self._replace(self.directory / f"{platform.name}-vms.json", {"vms": vms})

    def address_for(self, _domain, member):
        """Returns the address under which a failure domain reaches a member."""
        return member.peers_address or member.address

    def write_configuration(self, revision, document):
        self._replace(self.configuration_file, {"revision": revision, "document": document})

    @staticmethod
    def _replace(path, value):
        partial = path.with_suffix(".partial")
        partial.write_text(json.dumps(value))
        partial.replace(path)

    # Load

    def load_command(self, options, report):
        kind = self.deployment
        command = [BIN / "acaciaferry-load", "--text", ROOT, "--model", kind.model,
                   "--service", kind.service, "--mutating-path", kind.mutating_path,
                   "--reading-path", kind.reading_path, "--seed", options.seed,
                   "--seconds", options.seconds, "--rate", options.rate, "--json", report]
        for member in self.by_role("entry"):
            command += ["--entry", member.address]
        for member in self.by_role("service"):
            command += ["--journal", member.address]
        return [str(part) for part in command]


def raise_interrupt(_number, _frame):
    raise KeyboardInterrupt


@contextlib.contextmanager
def running_fleet(options):
    """Starts a fleet and ends every process of it, whatever happens."""
    directory = pathlib.Path(options.keep_logs or tempfile.mkdtemp(prefix="acaciaferry-"))
    directory.mkdir(parents=True, exist_ok=True)
    fleet = Fleet(options.deployment, directory)
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, raise_interrupt)
    try:
        fleet.start()
        yield fleet
    finally:
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        fleet.stop()
        if not options.keep_logs:
            shutil.rmtree(directory, ignore_errors=True)


def run_load(fleet, options):
    """Runs the load tool to its end and returns its exit code and output."""
    report = fleet.directory / "load.json"
    load = subprocess.Popen(fleet.load_command(options, report), stdout=subprocess.PIPE, text=True)
    try:
        output, _ = load.communicate()
    finally:
        if load.poll() is None:
            load.kill()
            load.wait()
    return load.returncode, output


def ledger_faults(ledger):
    """Names what must not be in a ledger of a fleet without faults."""
    if not ledger:
        return ["missing"]
    faults = [f"{key}={ledger[key]}" for key in ("late", "corrupt", "duplicated") if ledger[key]]
    ended = sum(ledger[key] for key in ("answered", "refused", "failed", "corrupt"))
    return faults + ([] if ended == ledger["sent"] else [f"{ended} of {ledger['sent']} ended"])


def demo(options):
    with running_fleet(options) as fleet:
        count = {role: len(fleet.by_role(role)) for role in ("entry", "engine", "service")}
        print(f"fleet: {options.deployment}, {len(fleet.deployment.domains)} failure domains, "
              f"{count['entry']} entry VMs, {count['engine']} engines, "
              f"{count['service']} service targets; configuration from the configuration service",
              flush=True)
        code, output = run_load(fleet, options)
        ledger = json.loads((fleet.directory / "load.json").read_text())["ledger"] if not code else {}
        dead = [member.name for member in fleet.members if not member.is_running()]
    if dead:
        print(f"fleet: processes that ended early: {', '.join(dead)}")
    broken = ledger_faults(ledger)
    if broken:
        print(f"fleet: the ledger is wrong: {', '.join(broken)}")
    # The ledger line comes last.
    print(output, end="", flush=True)
    return 1 if dead or code or broken else 0


VERBS = {"demo": demo}


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("verb", choices=sorted(VERBS))
    parser.add_argument("--seconds", type=int, default=60, help="time during which load is sent")
    parser.add_argument("--seed", type=int, default=1, help="seed of the load")
    parser.add_argument("--rate", type=float, default=30, help="requests a second")
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="works")
    parser.add_argument("--keep-logs", metavar="DIR", help="keep logs and settings here")
    return parser.parse_args()


def main():
    options = parse_options()
    try:
        return VERBS[options.verb](options)
    except FleetError as error:
        print(f"fleet: {error}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        print("fleet: interrupted, all processes ended", file=sys.stderr)
        return 130


if __name__ == "__main__":
    sys.exit(main())
