"""A worker stops inside an event and ends its chunked stream; the gateway passes that on as a
complete stream, although it could resume it at another worker."""

import asyncio
import os
import re
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import stand_ins as st

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONE = "lahore-a"
ZONES = {"lahore-a": "lahore"}
EVENTS = 10
EVENT_GAP_S = 0.03
PERIOD_S = 1 / 70
WARM_UP_S = 2.0
GARBLE_S = 5.5  # The site's garble: 0.35 of the workers spoil 0.02 of their answers for 5.5 s.
SPOIL_EVERY = 50


def event_text(request_id, number):
    return f"id: {number}\ndata: {request_id} piece {number} of {EVENTS}\n\n".encode()


class Streams:
    """Writes streams; while `faulty` is set, that worker breaks off one in `SPOIL_EVERY` of its
    streams inside an event."""

    def __init__(self, case):
        self.case = case
        self.faulty = None
        self.answers = 0
        self.broken_off = set()

    async def write(self, worker, request, writer):
        request_id = request.header("request-id")
        after = int(request.header("last-event-id", "0") or 0)
        stop_at = None
        if worker is self.faulty:
            self.answers += 1
            if after == 0 and self.answers % SPOIL_EVERY == SPOIL_EVERY // 2:
                stop_at = EVENTS // 2 + 1
                self.broken_off.add(request_id)
        headers = worker.common_headers(request)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                 "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        if after:
            self.case.record.write("worker", worker.id, request_id, "goes on after event", after)
        for number in range(after + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_GAP_S)
            text = event_text(request_id, number)
            if number == stop_at:
                text = text[:len(text) // 2]
                self.case.record.write("worker", worker.id, request_id, "stops inside event",
                                       number)
            writer.write(f"{len(text):x}\r\n".encode() + text + b"\r\n")
            await writer.drain()
            if number == stop_at:
                break
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def send(case, gateway, answers):
    request_id = case.request_id("draft")
    answer = await st.fetch(
        gateway.front, "POST", f"/s/{request_id}",
        {"Request-Id": request_id, "Model": "base", "Token-Usage": "600,70",
         "Prompt-Prefix": f"5c1e07a2:155,{case.requests:x}:445", "Deadline-Ms": "6000"}, b"draft",
        timeout=6.0)
    if answer is not None:
        answers.append((request_id, answer))
        case.record.write("client", request_id, "status", answer.status,
                          f"{answer.body.count(bytes([10, 10]))} of {EVENTS} events", answer.end)


async def play(case):
    store = await case.add_store()
    streams = Streams(case)
    workers = [await case.add_worker(store, "fold-assistant", ZONE, slots=64,
                                     models=st.BASE_MODEL) for _ in range(3)]
    for worker in workers:
        worker.stream = streams.write
    await store.put_json("keyed.op", "config", st.configuration(
        7, [{"name": "pattern-draft", "path-prefix": "/s/", "kind": "stream", "timeout-ms": 6000,
             "slo-ms": 1000, "service": "fold-assistant", "gap-aim-ms": 300, "sticky": True,
             "attempts": 2, "resumable": True}], [{"name": "fold-assistant", **st.ENGINE}]))
    gateway = case.add_gateway("front-lahore-a-1", ZONE, ZONES)
    gateway.write_settings([gateway.control], store.address)
    await gateway.start()
    await gateway.wait_until_ready()
    await asyncio.sleep(5)
    answers, tasks = [], []

    async def traffic():
        while True:
            tasks.append(asyncio.create_task(send(case, gateway, answers)))
            await asyncio.sleep(PERIOD_S)

    sender = asyncio.create_task(traffic())
    await asyncio.sleep(WARM_UP_S)
    if TROUBLE:
        streams.faulty = max(workers, key=lambda worker: len(worker.runs))
    await asyncio.sleep(GARBLE_S)
    streams.faulty = None
    await asyncio.sleep(1)
    sender.cancel()
    await asyncio.gather(*tasks)
    broken = []
    for request_id, answer in answers:
        whole = b"".join(event_text(request_id, number) for number in range(1, EVENTS + 1))
        if answer.status == 200 and answer.complete and answer.body != whole:
            broken.append(request_id)
            case.record.say(f"{request_id}: ends as complete with "
                            f"{answer.body.count(bytes([10, 10]))} of {EVENTS} events and "
                            f"{len(answer.body.rsplit(bytes([10, 10]), 1)[1])} bytes of the next")
    served = sum(1 for _, answer in answers if answer.complete)
    case.record.say(f"{len(answers)} streams; one worker of {len(workers)} broke off "
                    f"{len(streams.broken_off)} of its {streams.answers} inside an event in "
                    f"{GARBLE_S} s; {len(broken)} of those were passed on as complete")
    if served < len(answers) // 2 or (TROUBLE and not streams.broken_off):
        raise st.CannotRun("too few requests were served")
    return bool(broken)


st.main(HERE, play)
