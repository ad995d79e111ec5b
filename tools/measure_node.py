#!/usr/bin/env python3
"""Measures what carrying requests costs one daemon: processor time and memory by request, token, byte and stream.

Starts one acaciaferryd with the stand-ins on loopback, changes one quantity at a time, and prints the slopes as one
JSON object. Every loop is bounded; all processes are ended by pid.
"""

import argparse
import concurrent.futures
import http.client
import json
import os
import pathlib
import re
import signal
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAMS = ROOT / "build" / "bin"
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
START_LIMIT_S = 20
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024


class Process:
    """A program that prints the port that it listens on."""

    def __init__(self, directory, name, command):
        self.log = directory / f"{name}.log"
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen(command, stdout=log, stderr=subprocess.STDOUT)
        self.port = self._wait_for(r"\bport=(\d+)")

    def _wait_for(self, pattern):
        end = time.monotonic() + START_LIMIT_S
        while time.monotonic() < end:
            found = re.search(pattern, self.log.read_text(errors="replace"))
            if found:
                return int(found.group(1))
            time.sleep(0.02)
        raise RuntimeError(f"no port in {self.log}")

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def processor_seconds(self):
        fields = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND

    def resident_kb(self):
        return int(pathlib.Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]) * PAGE_KB

    def stop(self):
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(10)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


def complete(port, prompt, tokens):
    """Sends one streamed completion and reads its whole answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=120)
    body = json.dumps({"model": "batch-model", "prompt": prompt, "max_tokens": tokens, "stream": True})
    connection.request("POST", "/v1/completions", body, {"Authorization": "Bearer secret"})
    answer = connection.getresponse().read()
    connection.close()
    if b"[DONE]" not in answer:
        raise RuntimeError(answer[-300:])


def run_many(port, count, workers, prompt, tokens):
    with concurrent.futures.ThreadPoolExecutor(workers) as pool:
        for done in [pool.submit(complete, port, f"{i} {prompt}", tokens) for i in range(count)]:
            done.result()


def cost_of(daemon, count, workers, prompt, tokens):
    """Processor milliseconds of the daemon for each request."""
    before = daemon.processor_seconds()
    run_many(daemon.port, count, workers, prompt, tokens)
    return (daemon.processor_seconds() - before) * 1000 / count


def memory_of_streams(daemon, streams):
    """Resident KB for each stream that is open at the same time."""
    before = daemon.resident_kb()
    with concurrent.futures.ThreadPoolExecutor(streams) as pool:
        running = [pool.submit(complete, daemon.port, f"{i}", 400) for i in range(streams)]
        time.sleep(2)
        during = daemon.resident_kb()
        for each in running:
            each.result()
    return (during - before) / streams


def start_all(directory, engines):
    started = []
    vms = []
    for i in range(engines):
        engine = Process(directory, f"e{i}", [PROGRAMS / "acaciaferry-standin-engine", "--address", "127.0.0.1:0",
                                              "--name", f"e{i}", "--token-ms", "5", "--model", "batch-model"])
        started.append(engine)
        vms.append({"name": f"e{i}", "address": engine.address, "failure_domain": "tx-a", "region": "central-tx",
                    "role": "engine", "pool": "batch-model", "state": "live", "incarnation": 1})
    (directory / "vms.json").write_text(json.dumps({"vms": vms}))
    platform = Process(directory, "platform", [PROGRAMS / "acaciaferry-standin-platform", "--address", "127.0.0.1:0",
                                               "--vms", directory / "vms.json"])
    started.append(platform)
    (directory / "daemon.ini").write_text(
        "[vm]\nname = vm1\nfailure_domain = tx-a\nregion = central-tx\ndrain_grace_ms = 100\n"
        "[callers]\naddress = 127.0.0.1:0\n[operators]\naddress = 127.0.0.1:0\n"
        f"[platform]\nvm_list = {platform.address}\n"
        f"deployment_file = {ROOT / 'examples' / 'works' / 'deployment.ini'}\n")
    daemon = Process(directory, "daemon", [PROGRAMS / "acaciaferryd", "--config", directory / "daemon.ini"])
    started.append(daemon)
    return started, daemon


def wait_until_ready(daemon):
    end = time.monotonic() + START_LIMIT_S
    while True:
        try:
            return complete(daemon.port, "ready?", 1)
        except RuntimeError:
            if time.monotonic() > end:
                raise
            time.sleep(0.1)


def measure(daemon, idle_seconds):
    result = {"resident_mb_idle": round(daemon.resident_kb() / 1024, 1)}
    before = daemon.processor_seconds()
    time.sleep(idle_seconds)
    result["idle_percent_of_core"] = round((daemon.processor_seconds() - before) * 100 / idle_seconds, 2)
    one = cost_of(daemon, 400, 16, "short", 1)
    many = cost_of(daemon, 60, 16, "short", 401)
    result["ms_per_request"] = round(one, 3)
    result["ms_per_token"] = round((many - one) / 400, 4)
    big = cost_of(daemon, 10, 2, "word " * 200_000, 1)
    result["ms_per_megabyte_of_prompt"] = round(big - one, 2)
    result["kb_per_open_stream"] = round(memory_of_streams(daemon, 100), 1)
    result["resident_mb_after"] = round(daemon.resident_kb() / 1024, 1)
    return result


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--idle-seconds", type=float, default=5)
    parser.add_argument("--engines", type=int, default=5)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        started, daemon = start_all(directory, options.engines)
        try:
            wait_until_ready(daemon)
            print(json.dumps(measure(daemon, options.idle_seconds)))
        finally:
            for each in started:
                each.stop()


if __name__ == "__main__":
    main()
