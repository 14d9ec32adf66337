"""A planned stop: a gateway accepts streams until 6.5 s after SIGTERM and cuts them at 7.5 s."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import stand_ins as st

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONE = "lahore-a"
ZONES = {"lahore-a": "lahore"}
GRACE_S = st.BOUNDS["grace-s"]
EXCUSED_S = 3.0  # Requests sent up to then may be cut in the last sixth of the grace period.
EVENTS = 36
EVENT_GAP_S = 0.065  # 36 events last 2.3 s; the route allows pauses of 300 ms and 4 s in all.
DEADLINE_MS = 4000
CLIENTS = 6  # They start 0.4 s apart, so that their requests are spread over time.


async def write_stream(worker, request, writer):
    """A stream of events at a steady pace, ended by its last chunk."""
    headers = worker.common_headers(request)
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
    request_id = request.header("request-id")
    for number in range(1, EVENTS + 1):
        await asyncio.sleep(EVENT_GAP_S)
        if writer.is_closing():
            worker.record.write("worker", worker.id, request_id,
                                f"lost its connection before event {number} of {EVENTS}")
            return False
        event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    worker.record.write("worker", worker.id, "has written all of", request_id)
    return True


class Client:
    """Asks where to connect, keeps the last answer while it cannot obtain a new one, and sends one
    stream request after the other, each on a new connection."""

    def __init__(self, case, gateway, answers):
        self.case = case
        self.gateway = gateway
        self.answers = answers
        self.addresses = []
        self.expires = 0.0

    async def resolve(self):
        if self.addresses and time.monotonic() < self.expires:
            return
        answer = await st.fetch(self.gateway.directory, "GET",
                                f"/dragonflystair/resolve?name=app.example&region=lahore&zone={ZONE}",
                                {}, timeout=1.0)
        if answer is not None and answer.status == 200:
            resolved = st.json.loads(answer.body)
            self.addresses = resolved["addrs"]
            self.expires = time.monotonic() + min(resolved["ttl-s"], st.BOUNDS["ttl_max_s"])

    async def run(self, delay, until):
        await asyncio.sleep(delay)
        while time.monotonic() < until:
            await self.resolve()
            if not self.addresses:
                await asyncio.sleep(0.1)
                continue
            request_id = self.case.request_id("stream")
            answer = await st.fetch(
                self.addresses[0], "POST", f"/s/{request_id}",
                {"Request-Id": request_id, "Model": "base", "Token-Usage": "600,250",
                 "Prompt-Prefix": f"5c1e07a2:155,{self.case.requests:x}:445",
                 "Deadline-Ms": str(DEADLINE_MS)}, b"fold", timeout=DEADLINE_MS / 1000)
            if answer is None:
                await asyncio.sleep(0.1)
                continue
            self.answers.append((request_id, answer))
            events = answer.body.count(b"\n\n")
            self.case.record.write("client", request_id, "sent at",
                                   f"{answer.sent_at - self.case.record.start:.3f}", "status",
                                   answer.status, f"events {events} of {EVENTS}", answer.end)
            if answer.status != 200:
                await asyncio.sleep(float(answer.header("retry-after", "0.25")))


async def play(case):
    store = await case.add_store()
    workers = [await case.add_worker(store, "fold-assistant", ZONE, slots=64,
                                     models=st.BASE_MODEL) for _ in range(2)]
    for worker in workers:
        worker.stream = write_stream
    await store.put_json("keyed.op", "config", st.configuration(
        7, [{"name": "pleat-query", "path-prefix": "/s/", "kind": "stream", "timeout-ms": 4000,
             "service": "fold-assistant", "gap-aim-ms": 300, "sticky": True}],
        [{"name": "fold-assistant", **st.ENGINE}]))
    gateway = case.add_gateway("front-lahore-a-1", ZONE, ZONES)
    gateway.write_settings([gateway.control], store.address)
    await gateway.start()
    await gateway.wait_until_ready()
    await asyncio.sleep(2)
    answers = []
    clients = [asyncio.create_task(Client(case, gateway, answers).run(0.4 * number,
                                                                      time.monotonic() + 18))
               for number in range(CLIENTS)]
    await asyncio.sleep(6)
    term_at = time.monotonic()
    if TROUBLE:
        gateway.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(gateway.ended(), GRACE_S)
        except asyncio.TimeoutError:
            gateway.signal(signal.SIGKILL)
            await gateway.ended()
        ended_at = time.monotonic()
        case.record.say(f"the gateway ended {ended_at - term_at:.2f} s after SIGTERM")
        await gateway.start()
    await asyncio.gather(*clients)
    ran = {request_id for worker in workers for _, request_id in worker.runs}
    lost = [(request_id, answer) for request_id, answer in answers
            if request_id in ran and not answer.complete
            and answer.ended_at - answer.sent_at < DEADLINE_MS / 1000 - 0.1]
    excused = [item for item in lost if item[1].sent_at - term_at <= EXCUSED_S]
    counted = [item for item in lost if item not in excused
               and item[1].sent_at - term_at <= GRACE_S + 1]
    for request_id, answer in counted:
        case.record.say(f"LOST {request_id}: sent {answer.sent_at - term_at:.2f} s after SIGTERM, "
                        f"passed on to a worker, cut {answer.ended_at - term_at:.2f} s after it "
                        f"with {answer.body.count(bytes([10, 10]))} of {EVENTS} events")
    served = sum(1 for _, answer in answers if answer.complete and answer.status == 200)
    case.record.say(f"{len(answers)} requests answered or cut, {served} served whole, "
                    f"{len(excused)} cut and excused, {len(counted)} cut and counted")
    if served < 10:
        raise st.CannotRun("too few requests were served")
    return bool(counted)


st.main(HERE, play)
