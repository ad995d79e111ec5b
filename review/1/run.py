"""A streaming request crashes each engine that runs it, after its first event."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins
from standins import Engine, Requesters, Store, route

# 0: the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1")

ENGINES = 8
EVENTS = 12
EVENT_S = 0.03
# TROUBLE=early: the engines crash before the first event instead.
EVENTS_BEFORE_CRASH = 0 if TROUBLE == "early" else 1
BACK_AFTER_S = 3.0
HEARTBEAT_S = 1.2
COMES_AGAIN_S = 2.5
COMES_FOR_S = 45.0
ALLOWED_RETRIES = 3
CRASHING_PATH = "/drafts/survey-17"


class StreamingEngine(Engine):
    """Streams events with the ids from 1 on, after Last-Event-Id if that is given."""

    crashed = None

    async def work(self, attempt, line, fields, writer):
        first = int(fields.get("last-event-id", "0")) + 1
        writer.write(("HTTP/1.1 200 OK\r\nAcaciaferry-Attempt-Id: %s\r\n"
                      "Acaciaferry-Engine-Stamp: %s.%d\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n" %
                      (attempt, self.name, self.count)).encode())
        crashes = TROUBLE != "0" and line.split(" ")[1] == CRASHING_PATH
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            if crashes and number == first + EVENTS_BEFORE_CRASH:
                self.crashed(self)
                raise ConnectionResetError
            event = b"id: %d\ndata: part %d\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Service:
    """Keeps the engines of one service; those that crash come back with new ids."""

    def __init__(self, record, store):
        self.record = record
        self.store = store
        self.engines = []
        self.crashes = []
        self.tasks = set()
        self.made = 0

    async def add(self):
        engine = StreamingEngine(self.record, self.store, "i-e%02d" % self.made, "drafting")
        self.made += 1
        engine.crashed = self.crash
        self.engines.append(engine)
        await engine.start()

    def crash(self, engine):
        self.crashes.append(self.record.now())
        self.record("%s crashes" % engine.name)
        engine.exit()
        for coroutine in (self.come_back(), self.expire(engine)):
            task = asyncio.create_task(coroutine)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def come_back(self):
        await asyncio.sleep(BACK_AFTER_S)
        await self.add()

    async def expire(self, engine):
        # The store removes an entry after three intervals of silence.
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.store.remove("servers/" + engine.name)


# Too short to be worth reading on several engines.
PROMPT = [("Acaciaferry-Model", "m"), ("Acaciaferry-Token-Usage", "1960,600")]


async def others(record, requesters, vms, until):
    number = 0
    while record.now() < until():
        number += 1
        requesters.start(vms[number % len(vms)], "POST", "/drafts/reply-%d" % number, key="key-b",
                         limit_ms=10000, body=b"prompt %d" % number, fields=PROMPT +
                         [("Acaciaferry-Prompt-Prefix", "5c1e07a2:40,%08x:1920" % number)])
        await asyncio.sleep(0.1)


async def scenario(record, folder):
    store = Store(record)
    await store.start()
    engine = {"slots": 16, "kv_capacity": 232000, "stride": 43, "step_ms": 1.02,
              "per_seq_ms": 0.00226, "context_per_k": 0.00431, "read_per_s": 206000.0,
              "pairs_per_m": 0.138, "chunk": 2048, "usual": {"prompt": 12316, "answer": 1303}}
    config = standins.configuration(7, [route(
        "drafts", "/drafts/", "drafting", "streaming", timeout_ms=10000, target_latency_ms=300,
        target_gap_ms=250, resumable=True, sticky=True)], ["drafting"])
    config["services"][0].update(engine=engine, max_conns=344)
    store.put("op/config", config)
    service = Service(record, store)
    for _ in range(ENGINES):
        await service.add()
    vms = standins.make_vms(record, folder, store, ["zone-a", "zone-b", "zone-c"])
    requesters, crashing = Requesters(record), Requesters(record)
    crashing.next = 900000
    try:
        for vm in vms:
            vm.start()
        await standins.wait_until_ready(vms)
        await asyncio.sleep(5)
        end = record.now() + COMES_FOR_S
        sending = asyncio.create_task(others(record, requesters, vms, lambda: end))
        number = 0
        while record.now() < end:
            crashing.start(vms[number % len(vms)], "POST", CRASHING_PATH, limit_ms=10000,
                           body=b"dossier 17", fields=PROMPT +
                           [("Acaciaferry-Prompt-Prefix", "5c1e07a2:40,0badcafe:1920")])
            number += 1
            await asyncio.sleep(COMES_AGAIN_S)
        await sending
        await requesters.finish()
        await crashing.finish()
    finally:
        for vm in vms:
            vm.end()
    runs = sorted((run for each in service.engines for run in each.runs
                   if run.line.split(" ")[1] == CRASHING_PATH), key=lambda run: run.at)
    record.say("the request was sent %d times, ran %d times and crashed %d engines" %
               (number, len(runs), len(service.crashes)))
    helped = sum(1 for each in service.engines for run in each.runs
                 if "acaciaferry-helpers" in run.fields)
    record.say("requests with helpers: %d; most at once at an engine: %d" %
               (helped, max(each.most_running for each in service.engines)))
    cut = [each for each in requesters.answers if each.status != 200]
    record.say("requests of others without a whole answer: %d of %d" %
               (len(cut), len(requesters.answers)))
    if len(service.crashes) < 3:
        record.say("it has not crashed three engines")
        return False
    bound = service.crashes[2] + standins.CONTACT_S
    late = [run for run in runs if run.at > bound]
    attempts = {run.attempt for run in late}
    # Of each attempt, what a VM sent once more.
    repeats = len(late) - len(attempts)
    record.say("the third crash was at %.3f; later than contact_ms after it %d attempts reached "
               "engines, and %d of them once more" % (service.crashes[2], len(attempts), repeats))
    return min(len(attempts), repeats) > ALLOWED_RETRIES


standins.run_case(__file__, scenario)
