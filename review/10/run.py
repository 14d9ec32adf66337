"""A worker starts again under its id and then leaves; a report of its former run reaches the store
late."""
import asyncio
import json
import os
import sys
import tempfile
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import stand_ins as s  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FOLDER = os.path.dirname(os.path.abspath(__file__))
STABLE_S = 4.0         # stable-ms
DRAIN_S = 2.5          # drain-ms
DOWN_S = 1.0           # the crash of the worker
EARLIEST_S, LATEST_S = 4.6, 6.0  # the late write: 1 to 6 s (fleetbench kinds, platform_lost, late)
SERVES_S = 5.0         # drain-ms "and a little longer (at times many seconds)"
CLIENTS = 9
WORKERS = 6            # one of them crashes: a share of 0.167

record = s.Record(os.path.join(FOLDER, "record.txt"))
sent = {}              # when a client sent a request, by id
passed_on = {}         # when a machine first passed on an answer with Server-Leaving, by machine
faults = []


class Leaver(s.Worker):
    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        self.beats_sent = []

    async def register(self):
        self.beats_sent.append(time.monotonic())
        await super().register()

    def headers(self, request, stamp=True):
        out = super().headers(request, stamp)
        if self.state == "draining":
            out["Server-Leaving"] = "1"
            out["Connection"] = "close"
        return out


async def stamp(worker, request, reader, writer):
    ident = request.headers["request-id"]
    machine = ident.split("/")[0]
    if worker.ident == "i-cert0" and machine in passed_on:
        after = sent[ident] - passed_on[machine]
        if after > DRAIN_S:
            faults.append(ident)
            record.line(f"FAULT {ident} reaches {worker.ident} from {machine}; its client sent it "
                        f"{after:.3f} s after {machine} had passed on that the worker leaves")
    await asyncio.sleep(0.03)
    writer.write(s.render(200, worker.headers(request), b"x" * 800))
    return worker.state != "draining"


async def client(gateway, number, stop):
    turn, connection = 0, s.Client(gateway.front)
    while not stop.is_set():
        turn += 1
        ident = f"{gateway.name}/{number}-{turn}"
        sent[ident] = time.monotonic()
        answer = await connection.ask("POST", f"/stamp/{number}", s.request_headers(ident),
                                      b"y" * 600, 6)
        if answer and answer.headers.get("server-leaving") == "1" and gateway.name not in passed_on:
            passed_on[gateway.name] = time.monotonic()
            record.line(f"{gateway.name} passes on an answer with Server-Leaving")
        if answer is None or answer.headers.get("connection", "").lower() == "close":
            connection.close()
            connection = s.Client(gateway.front)
        await asyncio.sleep(0.03)
    connection.close()


async def start_worker(store, port=0):
    worker = Leaver(store, "i-cert0", "cert-registry", "lahore-a", 6, run=stamp)
    await worker.start(port)
    record.line(f"worker i-cert0 starts, born {worker.born}")
    return worker


async def crash(worker):
    worker.beat_task.cancel()
    worker.server.close()
    for writer in list(worker.writers):
        writer.transport.abort()
    record.line(f"worker i-cert0, born {worker.born}, crashes")


async def late_report(store, worker, beats):
    """The last heartbeat of the former run: its write got no answer and is executed late, 0.1 s after
    a heartbeat of the present run, so that the next one is 1.1 s away."""
    entry, sent_at = json.dumps(worker.entry()), time.monotonic()
    if TROUBLE:
        await asyncio.sleep(EARLIEST_S)
        seen = len(beats)
        await until(lambda: len(beats) > seen, 1.25)
        await asyncio.sleep(0.1)
    late = time.monotonic() - sent_at
    await store.put("keyed.servers", "i-cert0", entry)
    record.line(f"the store executes a report of the run born {worker.born}: {worker.state}, "
                f"{late:.2f} s after it was sent")
    return late


async def until(condition, seconds):
    ends = time.monotonic() + seconds
    while not condition() and time.monotonic() < ends:
        await asyncio.sleep(0.005)


async def main():
    store = await s.Store().start()
    await store.put("keyed.op", "config", s.configuration())
    zones = list(s.ZONES)
    first = await start_worker(store)
    for k in range(1, WORKERS):
        await s.Worker(store, f"i-cert{k}", "cert-registry", zones[1 + k % 2], 6,
                       run=stamp).start()
    with tempfile.TemporaryDirectory() as folder:
        gateways = [s.Gateway(folder, f"front-{zone}-1", zone, store) for zone in zones]
        seeds = [gateway.control for gateway in gateways]
        try:
            for gateway in gateways:
                await gateway.start(seeds)
            for gateway in gateways:
                if not await gateway.wait_ready():
                    return 2
            await asyncio.sleep(STABLE_S)
            beats = []
            late = asyncio.ensure_future(late_report(store, first, beats))
            await asyncio.sleep(0.05)
            await crash(first)
            await asyncio.sleep(DOWN_S)
            second = await start_worker(store, int(first.address.rsplit(":", 1)[1]))
            second.beats_sent = beats
            await asyncio.sleep(0.7)  # the machines read the list of workers
            stop = asyncio.Event()
            tasks = [asyncio.ensure_future(client(gateways[k % 3], k, stop))
                     for k in range(CLIENTS)]
            await until(lambda: second.running > 0, 1)  # a machine uses it
            await asyncio.sleep(0.2)
            second.state = "draining"
            record.line("worker i-cert0 leaves and says so in all its answers")
            await until(lambda: passed_on, 1)
            await second.register()
            record.line("worker i-cert0 reports draining to the store")
            await asyncio.sleep(SERVES_S)
            if await late > LATEST_S:
                return 2
            await crash(second)
            await store.put("keyed.servers", "i-cert0", "")
            stop.set()
            await asyncio.wait(tasks, timeout=6)
            record.line(f"{len(sent)} requests sent, {len(passed_on)} of 3 machines passed on that the "
                        f"worker leaves, {len(faults)} requests reached it too late")
            if not passed_on:
                return 2
        finally:
            for gateway in gateways:
                gateway.end()
    return 1 if faults else 0


if __name__ == "__main__":
    s.run_case(main, record, 110)
