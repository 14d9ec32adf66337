"""A case in which a crowd of clients, in a process of its own, talks to one of three gateways, and the
platform kills that gateway's process if it exceeds the memory of its machine."""
import asyncio
import os
import random
import sys
import tempfile

import stand_ins as s

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ORDINARY_CLIENTS = 12
STABLE_S = 4          # stable-ms: all machines are in touch
WORKERS = 9


class Case:
    """`script` is the path of the case; called with `crowd ADDRESS` it is the crowd and prints one
    line for each answer or for many of them."""

    def __init__(self, script, longest_s):
        self.script, self.longest_s = script, longest_s
        self.record = s.Record(os.path.join(os.path.dirname(script), "record.txt"))
        self.passed_on = set()     # ids of ordinary requests that a worker has received
        self.unanswered = []       # ordinary requests on kept connections that got no answer
        self.kills = 0
        self.work = random.Random(51)

    async def stamp(self, worker, request, reader, writer):
        """Runs a stamp: 30 ms in the mean and 220 ms at most by the site file, here 60 to 220."""
        self.passed_on.add(request.headers.get("request-id"))
        await asyncio.sleep(self.work.uniform(0.06, 0.22))
        writer.write(s.render(200, worker.headers(request), b"x" * 800))
        return True

    async def platform(self, gateway):
        """The platform kills a process that exceeds memory-mb."""
        highest = 0
        while gateway.alive():
            now, _ = gateway.memory()
            if now > highest + 20:
                highest = now
                self.record.line(
                    f"machine {gateway.name} memory {now:.0f} MB of {gateway.memory_mb} MB")
            if now > gateway.memory_mb:
                self.record.line(f"machine {gateway.name} memory {now:.0f} MB exceeds "
                                 f"{gateway.memory_mb} MB: killed by the platform")
                self.kills += 1
                gateway.end()
                return
            await asyncio.sleep(0.01)

    async def ordinary(self, gateway, number, stop):
        """An ordinary client: stamps on a connection that it keeps."""
        client, sent = s.Client(gateway.front), 0
        while not stop.is_set():
            sent += 1
            ident = f"o-{number}-{sent}"
            answer = await client.ask("POST", f"/stamp/{number}", s.request_headers(ident),
                                      b"y" * 600)
            if answer is None or not answer.complete:
                if sent > 1:
                    self.unanswered.append(ident)
                    self.record.line(f"ordinary {ident} unanswered, its connection closed")
                return
            if answer.status != 200:
                self.record.line(f"ordinary {ident} answered {answer.status}")
                if answer.headers.get("connection", "").lower() == "close":
                    client.close()
                    client = s.Client(gateway.front)
        client.close()

    async def run_crowd(self, gateway):
        process = s.subprocess.Popen([sys.executable, self.script, "crowd", gateway.front],
                                     stdout=s.subprocess.PIPE, text=True)
        s.STARTED.append(process)
        lines = s.threading.Thread(target=self.copy_lines, args=(process.stdout,))
        lines.start()
        try:
            for _ in range(int(self.longest_s * 10)):
                if process.poll() is not None or not gateway.alive():
                    break
                await asyncio.sleep(0.1)
        finally:
            if process.poll() is None:
                process.terminate()
            process.wait()
            lines.join()

    def copy_lines(self, stream):
        for line in stream:
            self.record.line(line.rstrip())

    async def main(self):
        store = await s.Store().start()
        await store.put("keyed.op", "config", s.configuration())
        zones = list(s.ZONES)
        workers = [await s.Worker(store, f"i-fold{k}", "fold-assistant", zones[k % 3], 64,
                                  {"m0": {f"a{k}", "a100"}}, known_adapters=3000,
                                  run=s.stream_run(10, 0.02)).start() for k in range(WORKERS)]
        workers += [await s.Worker(store, f"i-cert{k}", "cert-registry", zones[k % 3], 6,
                                   run=self.stamp).start() for k in range(3)]
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
                target = gateways[0]
                watch = asyncio.ensure_future(self.platform(target))
                stop = asyncio.Event()
                others = [asyncio.ensure_future(self.ordinary(target, k, stop))
                          for k in range(ORDINARY_CLIENTS)]
                await asyncio.sleep(1)
                await self.run_crowd(target)
                if target.alive():
                    await asyncio.sleep(1)
                    self.record.line(f"machine {target.name} memory at the end "
                                     "{:.0f} MB, highest {:.0f} MB".format(*target.memory()))
                stop.set()
                await asyncio.gather(*others)
                watch.cancel()
                await asyncio.sleep(1)  # the workers read what was sent to them
                cut = [ident for ident in self.unanswered if ident in self.passed_on]
                self.record.line(f"passed on to a worker and unanswered: {' '.join(cut)}")
                self.record.line(f"killed for memory: {self.kills}, ordinary requests cut off: "
                                 f"{len(cut)}, ordinary requests run: {len(self.passed_on)}")
                if not self.passed_on:
                    return 2
            finally:
                for gateway in gateways:
                    gateway.end()
                for worker in workers:
                    worker.beat_task.cancel()
        return 1 if self.kills and len(cut) > 3 else 0


def run(script, longest_s, crowd):
    """Runs the case, or its crowd. Ends the process with the exit code of the case."""
    if sys.argv[1:2] == ["crowd"]:
        asyncio.run(crowd(sys.argv[2]))
        os._exit(0)
    case = Case(script, longest_s)
    s.run_case(case.main, case.record, 115)
