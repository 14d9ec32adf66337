"""All gateways are killed at the same moment and start again without what they knew of a request
that crashes workers; it crashes workers anew."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import stand_ins as st

ZONE = "lahore-a"
ZONES = {"lahore-a": "lahore"}
STABLE_S = st.BOUNDS["stable-ms"] / 1000
WORKERS = 6
BACK_S = 2.0  # "the worker is back after some seconds"
DOWN_S = 2.0  # The site's herd_kill keeps machines down for 2.0 s.
PERIOD_S = 0.02
BURST = 6
BURST_GAP_S = 0.05
POISON_BODY = b"stamp 7731 of a consignment that the registry cannot parse"


class Workers:
    """Workers that the request crashes, and that are back under a new id after `BACK_S`."""

    def __init__(self, case, store):
        self.case = case
        self.store = store
        self.crashes = []
        self.lost = []
        self.tasks = []
        self.all = []

    async def add(self):
        worker = await self.case.add_worker(self.store, "cert-registry", ZONE)
        worker.on_run = lambda request: self.run(worker, request)
        self.all.append(worker)

    def run(self, worker, request):
        if request.body != POISON_BODY:
            return
        self.crashes.append(time.monotonic())
        self.lost += [name for name in worker.running if name != request.header("request-id")]
        worker.crash(f"began to run {request.header('request-id')}")
        self.tasks.append(asyncio.create_task(self.replace()))

    async def replace(self):
        await asyncio.sleep(BACK_S)
        await self.add()


async def send(case, gateway, path, body, answers):
    request_id = case.request_id("stamp")
    answer = await st.fetch(gateway.front, "POST", path,
                            {"Request-Id": request_id, "Deadline-Ms": "4000"}, body, timeout=4.0)
    if answer is not None:
        answers.append((request_id, answer))
        case.record.write("client", request_id, "to", gateway.name, path, "status", answer.status,
                          answer.end)


async def play(case):
    store = await case.add_store()
    workers = Workers(case, store)
    for _ in range(WORKERS):
        await workers.add()
    await store.put_json("keyed.op", "config", st.configuration(
        7, [{"name": "stamp-issue", "path-prefix": "/stamp/", "kind": "unsafe",
             "timeout-ms": 2000, "slo-ms": 250, "service": "cert-registry"}],
        [{"name": "cert-registry", **st.PLAIN}]))
    gateways = [case.add_gateway(f"front-lahore-a-{number}", ZONE, ZONES) for number in (1, 2)]
    for gateway in gateways:
        gateway.write_settings([other.control for other in gateways], store.address)
        await gateway.start()
    for gateway in gateways:
        await gateway.wait_until_ready()
    await asyncio.sleep(6)
    answers, tasks = [], []

    async def traffic():
        number = 0
        while True:
            number += 1
            tasks.append(asyncio.create_task(send(case, gateways[number % 2], f"/stamp/{number}",
                                                  b"stamp %d" % number, answers)))
            await asyncio.sleep(PERIOD_S)

    async def burst():
        seen = []
        before = len(workers.crashes)
        await asyncio.gather(*[later(number, seen) for number in range(BURST)])
        statuses = " ".join(str(answer.status) for _, answer in seen)
        case.record.say(f"{case.record.now():.1f} s: the request came {BURST} times, answered "
                        f"{statuses}; {len(workers.crashes) - before} workers crashed")

    async def later(number, seen):
        await asyncio.sleep(BURST_GAP_S * number)
        await send(case, gateways[number % 2], "/stamp/7731", POISON_BODY, seen)

    sender = asyncio.create_task(traffic())
    await asyncio.sleep(1)
    await burst()
    await asyncio.sleep(6)
    if case.trouble:
        for gateway in gateways:
            gateway.signal(signal.SIGKILL)
        for gateway in gateways:
            await gateway.ended()
        await asyncio.sleep(DOWN_S)
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await gateway.wait_until_ready()
        case.record.say(f"{case.record.now():.1f} s: all gateways were killed and are ready again")
    await asyncio.sleep(2 * STABLE_S)
    in_touch_from = time.monotonic()
    await burst()
    await asyncio.sleep(6)
    sender.cancel()
    await asyncio.gather(*tasks)
    crashes = workers.crashes
    if len(crashes) < 3:
        raise st.CannotRun("the request crashed fewer than three workers")
    late = [at for at in crashes[3:] if at > crashes[2] + STABLE_S and at > in_touch_from]
    served = sum(1 for _, answer in answers if answer.status == 200)
    case.record.say(f"{len(crashes)} workers crashed; {len(late)} times the request reached a "
                    f"worker later than {STABLE_S} s after its third crash, sent by machines in "
                    f"touch; {len(workers.lost)} sound unsafe requests that were running were lost")
    if served < 100:
        raise st.CannotRun("too few requests were served")
    return len(late) > 3


st.main(HERE, play)
