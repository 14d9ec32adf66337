"""A planned stop while workers pause in the middle of streams that may be resumed."""
import asyncio
import os
import signal
import sys
import tempfile
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import stand_ins as s  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FOLDER = os.path.dirname(os.path.abspath(__file__))
STREAMS = 8
EVENTS = 10
PAUSE_AFTER = 3        # events
PAUSE_S = 3.0          # a client abandons a stream after 4 s: four times the objective of 1,000 ms
STABLE_S = 4.0         # stable-ms
SIGTERM_AFTER_S = 1.0  # after the requests were sent

record = s.Record(os.path.join(FOLDER, "record.txt"))
runs = {}              # by request id: how often a worker began it


def event(number):
    text = f"id: {number}\ndata: token {number}\n\n".encode()
    return f"{len(text):x}\r\n".encode() + text + b"\r\n"


async def run_stream(worker, request, reader, writer):
    """The first run of a request is preempted after some events, is read anew, and goes on; a run
    that is resumed goes on at once."""
    ident = request.headers["request-id"]
    after = int(request.headers.get("last-event-id", "0"))
    runs[ident] = runs.get(ident, 0) + 1
    record.line(f"worker {worker.ident} runs {ident} after event {after}, "
                f"Deadline-Ms {request.headers.get('deadline-ms')}")
    head = {**worker.headers(request), "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked"}
    writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{k}: {v}\r\n" for k, v in head.items())
                  + "\r\n").encode())
    for number in range(after + 1, EVENTS + 1):
        if number == PAUSE_AFTER + 1 and after == 0:
            record.line(f"worker {worker.ident} preempts {ident} for {PAUSE_S} s")
            # A worker drops a request when its connection closes.
            if await closed_within(reader, PAUSE_S):
                record.line(f"worker {worker.ident} drops {ident}: its connection was closed")
                return False
        await asyncio.sleep(0.05)
        writer.write(event(number))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    record.line(f"worker {worker.ident} has run {ident} to its end")
    return True


async def closed_within(reader, seconds):
    try:
        return await asyncio.wait_for(reader.read(1), seconds) == b""
    except (asyncio.TimeoutError, ConnectionError):
        return False


async def stream(gateway, number):
    """Returns whether the client got the complete stream."""
    ident = f"d-{number}"
    client = s.Client(gateway.front)
    sent = time.monotonic()
    answer = await client.ask(
        "POST", f"/draft/{number}",
        s.request_headers(ident, 6000, Model="m0/a1", Token_Usage="646,70",
                          Prompt_Prefix=f"5c1e07a2:155,{number + 1:x}:491"), b"z" * 1300, 6)
    client.close()
    events = answer.body.count(b"data:") if answer else 0
    complete = answer is not None and answer.status == 200 and answer.complete
    record.line(f"client {ident} got {events} events, "
                f"{'complete' if complete else 'the connection ended without the end of the stream'}"
                f", {time.monotonic() - sent:.2f} s after it was sent")
    return complete and events == EVENTS


async def main():
    store = await s.Store().start()
    await store.put("keyed.op", "config", s.configuration())
    zones = list(s.ZONES)
    workers = [await s.Worker(store, f"i-fold{k}", "fold-assistant", zones[k % 3], 64,
                              {"m0": {"a1"}}, run=run_stream).start() for k in range(9)]
    with tempfile.TemporaryDirectory() as folder:
        gateways = [s.Gateway(folder, f"front-{zone}-1", zone, store) for zone in zones]
        seeds = [gateway.control for gateway in gateways]
        try:
            for gateway in gateways:
                await gateway.start(seeds)
            for gateway in gateways:
                if not await gateway.wait_ready():
                    return 2
            await asyncio.sleep(STABLE_S)  # all machines are in touch
            target = gateways[0]
            tasks = [asyncio.ensure_future(stream(target, k)) for k in range(STREAMS)]
            await asyncio.sleep(SIGTERM_AFTER_S)
            if TROUBLE:
                record.line(f"machine {target.name} gets SIGTERM; grace-s is {target.grace_s}")
                target.signal(signal.SIGTERM)
            results = await asyncio.gather(*tasks)
            lost = results.count(False)
            record.line(f"{STREAMS} streams, {lost} without a complete answer; "
                        f"machine {target.name} {'runs' if target.alive() else 'has ended'}")
            if not any(runs.values()):
                return 2
        finally:
            for gateway in gateways:
                gateway.end()
            for worker in workers:
                worker.beat_task.cancel()
    return 1 if lost > 0 else 0


if __name__ == "__main__":
    s.run_case(main, record, 110)
