#!/usr/bin/env python3
"""Runs the demo's fleet under a seeded schedule of faults; see docs/drill.md."""

import argparse
import contextlib
import dataclasses
import hashlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request

import drill_evidence
import fleet as fleets

GRACE_S = 1
VM_LIST_LAG_S = 2
ANSWER_WITHIN_S = {"kiosk": 4, "permit-ledger": 4, "short": 8, "long": 15}
# Reclamation releases a holding this long after its deadline, and lists each
# engine every 5 s.
RECLAMATION_S = 10 + 5 + 5
LEAVING_S = 6
# How many of each kind are drawn, relative to the others.
FAULTS = {"kill_engine": 4, "kill_service": 2, "kill_entry": 3, "pause_entry": 3,
          "pause_engine": 4, "silence_engine": 3, "silence_service": 2, "lose_reply": 2,
          "leave_engine": 3, "leave_service": 1, "service_down": 1, "service_stale": 1,
          "publish": 3, "cut_domain": 1}
SHUTDOWN_RETRY_S = 0.2


class DrillFleet(fleets.Fleet):
    """A fleet whose failure domains reach one another through a relay."""

    vm_lag_ms = VM_LIST_LAG_S * 1000
    drain_grace_ms = GRACE_S * 1000

    def __init__(self, name, directory):
        super().__init__(name, directory)
        self.answers = self._short_answers()
        self.relay = None
        self.routes = {}

    def platform_name(self, domain):
        return f"platform-{domain}"

    def _short_answers(self):
        """Returns the example's answers with shorter deadlines."""
        text = (fleets.ROOT / "examples" / self.deployment_name / "answers.ini").read_text()
        # The engine stand-ins read this much at the fleet's speed.
        text = re.sub(r"(?m)^prefill_tokens_per_second = .*", "prefill_tokens_per_second = 200000",
                      text)
        sections = re.split(r"(?m)^(?=\[)", text)
        return "".join(map(self._shorten, sections))

    def _shorten(self, section):
        longest = re.search(r"(?m)^longest_prompt_tokens = (\d+)", section)
        if "answer_within_seconds" not in section:
            return section
        seconds = ANSWER_WITHIN_S[self.deployment.service]
        if longest:
            seconds = ANSWER_WITHIN_S["short" if int(longest[1]) <= 32768 else "long"]
        return re.sub(r"(?m)^answer_within_seconds = .*", f"answer_within_seconds = {seconds}",
                      section)

    def document(self, short_requests=3):
        """Generates a deployment document; the priority makes it differ."""
        answers = self.directory / "answers.ini"
        answers.write_text(re.sub(r"(?m)^short_requests = .*", f"short_requests = {short_requests}",
                                  self.answers))
        made = subprocess.run([fleets.BIN / "acaciaferryctl", "questionnaire", "generate", answers],
                              capture_output=True, text=True, check=False)
        if made.returncode:
            raise fleets.FleetError(f"questionnaire generate: {made.stderr}{made.stdout}")
        return made.stdout

    def first_document(self):
        return self.document()

    def address_for(self, domain, member):
        return self.routes.get((domain, member.name), super().address_for(domain, member))

    def start(self):
        super().start()
        self._start_relay()
        self.write_vm_list()

    def _start_relay(self):
        with open(self.directory / "relay.log", "ab") as log:
            self.relay = subprocess.Popen(
                [sys.executable, fleets.ROOT / "tools" / "relay.py"], stdin=subprocess.PIPE,
                stdout=subprocess.PIPE, stderr=log, text=True, start_new_session=True)
        ends = [(domain, member) for domain in self.deployment.domains for member in self.members
                if member.role != "platform" and member.domain != domain]
        self._tell_relay([{"from": domain, "to": member.domain,
                           "address": self.address_for(domain, member)}
                          for domain, member in ends])
        for (domain, member), address in zip(ends, json.loads(self.relay.stdout.readline())):
            self.routes[domain, member.name] = address

    def _tell_relay(self, value):
        self.relay.stdin.write(json.dumps(value) + "\n")
        self.relay.stdin.flush()

    def cut(self, domains):
        self._tell_relay(domains)

    def stop(self):
        if self.relay:
            self.cut([])
        super().stop()
        if self.relay:
            self.relay.stdin.close()
            self.relay.wait()


class Drill:
    def __init__(self, fleet, options):
        self.fleet = fleet
        self.options = options
        self.random = random.Random(options.seed)
        # The load cuts its prompts from this repository's files, so that the
        # marker must not stand in one.
        self.crash_marker = hashlib.sha256(f"crash {options.seed}".encode()).hexdigest()
        self.crash_armed = False
        self.lock = threading.RLock()
        self.busy = set()
        self.log = open(fleet.directory / "drill.log", "w", buffering=1)
        self.threads = []
        self.revision = 1
        self.cut_domain = None
        self.configuration_mode = "current"
        self.document_of = {}
        self.errors = []
        self.began = time.monotonic()
        self.reachable_since = {}
        self.started = {}
        self.sampling = threading.Event()
        entries = fleet.by_role("entry")
        self.evidence = drill_evidence.Evidence({}, [member.name for member in entries])
        for member in entries:
            self.evidence.reachable[member.name] = []
            self.became_reachable(member)

    def note(self, text):
        self.log.write(f"{time.monotonic() - self.began:7.2f} {text}\n")

    # Which member is under which fault

    def take(self, member):
        """Reserves a member, so that each has one fault at a time."""
        with self.lock:
            if member.name in self.busy or not member.is_running():
                return False
            self.busy.add(member.name)
            return True

    def free(self, member):
        with self.lock:
            self.busy.discard(member.name)

    def became_reachable(self, member):
        with self.lock:
            self.started[member.name] = time.monotonic()
            if member.domain != self.cut_domain:
                self.reachable_since[member.name] = time.monotonic()

    def became_unreachable(self, member):
        with self.lock:
            since = self.reachable_since.pop(member.name, None)
            if since is not None:
                self.evidence.reachable[member.name].append((since, time.monotonic()))

    def list_after_restart(self):
        with self.lock:
            self.fleet.write_vm_list()

    # Faults; each runs in a thread of its own

    def restart(self, member, pause_s):
        time.sleep(pause_s)
        for attempt in range(20):
            try:
                member.start()
                break
            except fleets.FleetError:
                # An earlier connection may hold the port for a moment.
                if attempt == 19:
                    raise
                time.sleep(0.5)
        if member.role == "engine" and self.crash_armed:
            self.arm(member)
        member.listed_state = "live"
        self.list_after_restart()

    def kill(self, member, pause_s):
        if member.role == "service":
            # The journal dies with its process, so it is read while paused.
            fleets.control(member.address, "pause", {"ms": 3000})
            self.read_journal(member)
        if member.role == "entry":
            self.became_unreachable(member)
        self.read_leaving(member)
        member.process.kill()
        member.process.wait()
        self.restart(member, pause_s)
        if member.role == "entry":
            self.became_reachable(member)

    def kill_engine(self, member, draw):
        self.kill(member, draw * 3)

    kill_service = kill_engine
    kill_entry = kill_engine

    def pause(self, member, draw):
        seconds = 1 + 7 * draw
        if member.role == "entry":
            self.became_unreachable(member)
        start = time.monotonic()
        member.process.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        member.process.send_signal(signal.SIGCONT)
        self.evidence.pauses.append((member.name, start, time.monotonic()))
        if member.role == "entry":
            with self.lock:
                if member.domain != self.cut_domain:
                    self.reachable_since[member.name] = time.monotonic()

    pause_entry = pause
    pause_engine = pause

    def silence_engine(self, member, _draw):
        fleets.control(member.address, "silence")

    silence_service = silence_engine

    def lose_reply(self, member, draw):
        fleets.control(member.address, "lose-reply", {"calls": 1 + int(5 * draw)})

    def leave_engine(self, member, draw):
        """A target says that it leaves; the VM list follows after its lag."""
        fleets.control(member.address, "leave")
        member.listed_state = "leaving"
        self.list_after_restart()
        time.sleep(LEAVING_S)
        self.kill(member, draw)

    leave_service = leave_engine

    def set_mode(self, mode):
        for platform in self.fleet.by_role("platform"):
            fleets.control(platform.address, "configuration", {"mode": mode})
        with self.lock:
            self.configuration_mode = mode
            if mode == "current" and self.cut_domain is None:
                self.evidence.published.append((self.revision, time.monotonic()))

    def service_down(self, _member, draw):
        with self.lock:
            if self.configuration_mode != "current":
                return
            self.configuration_mode = "taken"
        self.set_mode("unavailable")
        self.publish(None, draw)
        time.sleep(3 + 7 * draw)
        self.set_mode("current")

    def service_stale(self, _member, draw):
        with self.lock:
            if self.configuration_mode != "current":
                return
            self.configuration_mode = "taken"
        self.set_mode("previous" if draw < 0.5 else "stale")
        self.publish(None, draw)
        time.sleep(3 + 7 * draw)
        self.set_mode("current")

    def publish(self, _member, _draw):
        with self.lock:
            self.revision += 1
            document = self.fleet.document(2 + self.revision % 5)
            self.fleet.write_configuration(self.revision, document)
            if self.configuration_mode == "current":
                self.evidence.published.append((self.revision, time.monotonic()))
            self.note(f"published revision {self.revision} ({self.configuration_mode})")

    def cut_domain_off(self, domain, seconds):
        with self.lock:
            if self.cut_domain is not None:
                return
            self.cut_domain = domain
        self.note(f"{domain} is cut off for {seconds:.1f} s")
        members = [each for each in self.fleet.by_role("entry") if each.domain == domain]
        for member in members:
            self.became_unreachable(member)
        platform = self.fleet.platform_of(domain)
        self.fleet.cut([domain])
        # Their platform is out of reach, too.
        fleets.control(platform.address, "vms", {"mode": "unavailable"})
        time.sleep(seconds)
        self.fleet.cut([])
        fleets.control(platform.address, "vms", {"mode": "current"})
        with self.lock:
            self.cut_domain = None
            for member in members:
                if member.is_running() and member.name not in self.busy:
                    self.reachable_since[member.name] = time.monotonic()

    # Shutdown and replacement of every daemon

    def replace_entries(self):
        for member in self.fleet.by_role("entry"):
            while not self.take(member):
                time.sleep(SHUTDOWN_RETRY_S)
            try:
                self.replace_entry(member)
            finally:
                self.free(member)

    def replace_entry(self, member):
        record = {"member": member.name, "started": self.started[member.name],
                  "terminated": time.monotonic(), "grace_s": GRACE_S}
        self.became_unreachable(member)
        member.process.send_signal(signal.SIGTERM)
        try:
            record["exit_code"] = member.process.wait(ANSWER_WITHIN_S["long"] + GRACE_S + 5)
        except subprocess.TimeoutExpired:
            record["exit_code"] = "still running after its longest deadline"
            member.process.kill()
            member.process.wait()
        record["ended"] = time.monotonic()
        self.evidence.shutdowns.append(record)
        self.note(f"{member.name} ended with {record['exit_code']} after "
                  f"{record['ended'] - record['terminated']:.1f} s")
        self.restart(member, 0.5)
        self.became_reachable(member)

    # A prompt that crashes engines

    def arm(self, engine):
        fleets.control(engine.address, "crash-on", {"marker": self.crash_marker})

    def send_crashing_prompt(self):
        body = json.dumps({"model": self.fleet.deployment.model, "max_tokens": 50,
                           "prompt": self.crash_marker + " why does this fail?"}).encode()
        self.crash_armed = True
        for engine in self.fleet.by_role("engine"):
            with contextlib.suppress(OSError):
                self.arm(engine)
        entries = self.fleet.by_role("entry")
        for number in range(4 * len(entries)):
            request = urllib.request.Request(
                f"http://{entries[number % len(entries)].address}/v1/completions", data=body,
                headers={"Authorization": "Bearer secret", "Request-Timeout-Ms": "6000"})
            try:
                with urllib.request.urlopen(request, timeout=12) as reply:
                    text = reply.read().decode()
            except urllib.error.HTTPError as error:
                text = error.read().decode()
            except OSError as error:
                text = str(error)
            self.note(f"crashing prompt through {entries[number % len(entries)].name}: "
                      f"{text[:160].strip()}")
            time.sleep(0.5)

    def watch_members(self):
        """Restarts members that the drill did not end, and counts them."""
        while not self.sampling.is_set():
            for member in self.fleet.members:
                with self.lock:
                    ended = member.process.poll() is not None and member.name not in self.busy
                    if ended:
                        self.busy.add(member.name)
                if ended:
                    self.guarded(f"replace {member.name}", self.replace_ended, member)
            time.sleep(0.1)

    def replace_ended(self, member):
        self.note(f"{member.name} ended by itself with {member.process.returncode}")
        if member.role == "engine":
            self.evidence.crashed_engines.append(member.name)
        else:
            self.evidence.ended_early.append(f"{member.name}: {member.process.returncode}")
        if member.role == "entry":
            self.became_unreachable(member)
        self.restart(member, 1)
        if member.role == "entry":
            self.became_reachable(member)
        self.free(member)

    # Evidence

    def read_journal(self, member):
        try:
            with urllib.request.urlopen(f"http://{member.address}/control/journal",
                                        timeout=10) as reply:
                executions = json.load(reply)["executions"]
        except OSError as error:
            self.evidence.unread_journals.append(f"{member.name}: {error}")
            return
        self.evidence.executions += [each["path"] for each in executions]

    def read_leaving(self, member):
        if member.listed_state != "leaving":
            return
        delays = fleets.control(member.address, "state")["accepted_after_leaving_ms"]
        self.evidence.accepted_after_leaving_ms.setdefault(member.name, []).extend(delays)

    def sample_revisions(self):
        while not self.sampling.is_set():
            for member in self.fleet.by_role("entry"):
                with self.lock:
                    reachable = member.name in self.reachable_since
                incarnation = member.incarnation
                if reachable:
                    self.sample_revision(member, incarnation)
            time.sleep(0.3)

    def sample_revision(self, member, incarnation):
        try:
            with urllib.request.urlopen(f"http://{member.operators_address}/metrics",
                                        timeout=2) as reply:
                text = reply.read().decode()
        except OSError:
            return
        found = re.search(r"(?m)^acaciaferry_configuration_revision (\d+)", text)
        if found and incarnation == member.incarnation:
            self.evidence.revisions.append((member.name, incarnation, time.monotonic(),
                                            int(found[1])))

    def list_holdings(self):
        for member in self.fleet.by_role("engine"):
            with urllib.request.urlopen(f"http://{member.address}/v1/holdings",
                                        timeout=10) as reply:
                held = json.load(reply)["holdings"]
            self.evidence.holdings[member.name] = held
            for each in held:
                self.note(f"{member.name} still holds {each}")

    # Schedule

    def schedule(self):
        """Draws the faults: (seconds, kind, number of the member, strength).

        Begins with one of each kind, since drawn ones may miss a kind.
        """
        kinds = sorted(FAULTS)
        self.random.shuffle(kinds)
        end = self.options.seconds - 8
        plan, at = [], 3.0
        while at < end:
            # One in three comes with a second fault at the same moment.
            for _ in range(2 if self.random.random() < 1 / 3 else 1):
                kind = kinds.pop() if kinds else self.random.choices(
                    list(FAULTS), list(FAULTS.values()))[0]
                plan.append((at, kind, self.random.randrange(1000), self.random.random()))
            at += self.random.uniform(0.5, 3.0)
        return plan

    def run_fault(self, kind, number, draw):
        if kind == "cut_domain":
            domains = self.fleet.deployment.domains
            self.cut_domain_off(domains[number % len(domains)], 4 + 6 * draw)
            return
        if kind in ("publish", "service_down", "service_stale"):
            getattr(self, kind)(None, draw)
            return
        role = "service" if kind == "lose_reply" else kind.split("_")[1]
        members = self.fleet.by_role(role)
        member = members[number % len(members)]
        if not self.take(member):
            self.note(f"{kind} {member.name} left out: it has another fault")
            return
        self.note(f"{kind} {member.name}")
        try:
            getattr(self, kind)(member, draw)
        finally:
            self.free(member)

    def guarded(self, name, function, *arguments):
        def run():
            self.note(f"begin {name}")
            try:
                function(*arguments)
            except (OSError, fleets.FleetError, subprocess.SubprocessError) as error:
                self.note(f"error in {name}: {error!r}")
                self.errors.append(f"{name}: {error!r}")
            self.note(f"end {name}")
        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        return thread

    def run(self):
        fleet, options = self.fleet, self.options
        watchers = [self.guarded("sampling", self.sample_revisions),
                    self.guarded("watching", self.watch_members)]
        report = fleet.directory / "load.json"
        command = fleet.load_command(options, report) + [
            "--short-timeout-ms", str(ANSWER_WITHIN_S["short"] * 1000),
            "--long-timeout-ms", str(ANSWER_WITHIN_S["long"] * 1000),
            "--service-timeout-ms", "4000"]
        with open(fleet.directory / "load.log", "wb") as log:
            load = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        try:
            faults = self.run_schedule()
            for thread in faults:
                thread.join()
            code = load.wait()
        finally:
            if load.poll() is None:
                load.kill()
                load.wait()
        if code:
            raise fleets.FleetError("the load tool failed; see load.log")
        self.evidence.report = json.loads(report.read_text())
        wait = ANSWER_WITHIN_S["long"] + RECLAMATION_S
        print(f"drill: load ended, waiting {wait} s for deadlines and grace", flush=True)
        time.sleep(wait)
        self.list_holdings()
        self.sampling.set()
        for thread in watchers:
            thread.join()
        for member in fleet.by_role("service"):
            self.read_journal(member)
        for member in fleet.by_role("entry"):
            self.became_unreachable(member)

    def run_schedule(self):
        self.began = time.monotonic()
        third = self.options.seconds / 3
        plan = [(at, kind, lambda k=kind, n=number, d=draw: self.run_fault(k, n, d))
                for at, kind, number, draw in self.schedule()]
        plan += [(third, "replace all daemons", self.replace_entries),
                 (self.options.seconds / 5, "crashing prompt", self.send_crashing_prompt)]
        threads = []
        for at, name, function in sorted(plan, key=lambda each: each[0]):
            time.sleep(max(self.began + at - time.monotonic(), 0))
            threads.append(self.guarded(name, function))
        return threads


def print_result(drill):
    evidence = drill.evidence
    gathered = dataclasses.asdict(evidence) | {"report": "load.json"}
    (drill.fleet.directory / "evidence.json").write_text(json.dumps(gathered, indent=1))
    ledger = dict(evidence.report["ledger"])
    # The load tool reads only the journals of processes that still run.
    ledger["duplicated"] = len(drill_evidence.duplicated_calls(evidence))
    for reason, count in sorted(evidence.report["reasons"].items()):
        print(f"reason {reason}: {count}")
    print(f"crashing prompt: {len(evidence.crashed_engines)} engines ended, at most "
          f"{drill_evidence.CRASH_BOUND} allowed")
    for error in drill.errors:
        print(f"drill: a step failed: {error}")
    for name in evidence.ended_early:
        print(f"drill: ended by itself: {name}")
    print("ledger: " + " ".join(f"{key}={ledger[key]}" for key in (
        "sent", "answered", "refused", "failed", "late", "corrupt", "duplicated")))
    verdicts = drill_evidence.judge(evidence)
    for verdict in verdicts:
        print(verdict.line())
    sys.stdout.flush()
    failed = (drill.errors or evidence.ended_early or
              len(evidence.crashed_engines) > drill_evidence.CRASH_BOUND or
              not all(verdict.held for verdict in verdicts))
    return 1 if failed else 0


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=int, default=120, help="time of load and faults")
    parser.add_argument("--seed", type=int, default=1, help="seed of faults and load")
    parser.add_argument("--rate", type=float, default=20, help="requests a second")
    parser.add_argument("--deployment", choices=sorted(fleets.DEPLOYMENTS), default="works")
    parser.add_argument("--keep-logs", metavar="DIR", help="keep logs and evidence here")
    options = parser.parse_args()
    if options.seconds < 60:
        parser.error("--seconds must be at least 60, so that all daemons can be replaced")
    return options


def main():
    options = parse_options()
    directory = pathlib.Path(options.keep_logs or tempfile.mkdtemp(prefix="acaciaferry-"))
    directory.mkdir(parents=True, exist_ok=True)
    fleet = DrillFleet(options.deployment, directory)
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, fleets.raise_interrupt)
    code = 1
    try:
        fleet.start()
        drill = Drill(fleet, options)
        print(f"drill: {options.deployment}, seed {options.seed}, {options.seconds} s",
              flush=True)
        drill.run()
        code = print_result(drill)
    except fleets.FleetError as error:
        print(f"drill: {error}", file=sys.stderr)
    except KeyboardInterrupt:
        print("drill: interrupted, all processes ended", file=sys.stderr)
        code = 130
    finally:
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        fleet.stop()
        if not options.keep_logs:
            shutil.rmtree(directory, ignore_errors=True)
    sys.stdout.flush()
    # A step that still waits for a reply must not keep the drill alive.
    os._exit(code)


if __name__ == "__main__":
    main()
