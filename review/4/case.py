"""One gateway is partitioned from the store; its neighbour, which reads the store through it, goes
on sending requests to a worker that leaves, and goes on with the old configuration."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import stand_ins as st

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONE = "lahore-a"
ZONES = {"lahore-a": "lahore"}
APPLY_S = st.BOUNDS["config-apply-ms"] / 1000
DRAIN_S = st.BOUNDS["drain-ms"] / 1000
LINGER_S = 0.5  # The worker serves for `drain-ms` "and a little longer", then it exits.
CUT_S = 5.5  # The site file's own core_cut; the longest there is 6.5 s.
PERIOD_S = 0.1
STAMP_PERIOD_S = 3.2  # Few stamps are issued at this time of the day.
STAMP_WORK_S = 0.22  # The sheet's longest.
STAMP = {"name": "stamp-issue", "path-prefix": "/stamp/", "kind": "unsafe", "timeout-ms": 2000,
         "slo-ms": 250, "service": "cert-registry"}
MOVED = {"name": "permit-file", "path-prefix": "/permit/", "kind": "unsafe", "timeout-ms": 2000,
         "slo-ms": 250}
ADDED = {"name": "export-file", "path-prefix": "/export/", "kind": "unsafe", "timeout-ms": 2000,
         "slo-ms": 250, "service": "permits-new"}
SERVICES = [{"name": name, **st.PLAIN} for name in ("cert-registry", "permits-old", "permits-new")]


async def send(case, gateway, kind, answers):
    request_id = case.request_id(kind)
    answer = await st.fetch(gateway.front, "POST", f"/{kind}/{request_id}",
                            {"Request-Id": request_id, "Deadline-Ms": "4000"}, b"stamp",
                            timeout=4.0)
    if answer is None:
        raise st.CannotRun(f"a client could not connect to {gateway.name}")
    answers.append((request_id, kind, answer))
    case.record.write("client", request_id, "to", gateway.name, "sent at",
                      f"{answer.sent_at - case.record.start:.3f}", "status", answer.status,
                      answer.header("server-stamp") or "no stamp", answer.end)


async def play(case):
    store = await case.add_store()
    leaving = await case.add_worker(store, "cert-registry", ZONE)
    leaving.work = lambda request: STAMP_WORK_S
    old = [await case.add_worker(store, "permits-old", ZONE) for _ in range(2)]
    for _ in range(2):
        await case.add_worker(store, "permits-new", ZONE)
    await store.put_json("keyed.op", "config", st.configuration(
        7, [STAMP, {**MOVED, "service": "permits-old"}], SERVICES))
    links = []
    gateways = [case.add_gateway(f"front-lahore-a-{number}", ZONE, ZONES) for number in (1, 2)]
    for gateway in gateways:
        link = st.Proxy(case.addresses.host(), store.address)
        await link.listen()
        links.append(link)
        case.servers.append(link)
        gateway.write_settings([other.control for other in gateways], store.address,
                               link.address)
        await gateway.start()
    for gateway in gateways:
        await gateway.wait_until_ready()
    await asyncio.sleep(6)
    # The other gateway is out of touch while its link is cut and 4 s after, and isn't judged.
    judged = gateways[1]
    answers, tasks = [], []

    async def traffic(period, kinds):
        while True:
            for kind in kinds:
                tasks.append(asyncio.create_task(send(case, judged, kind, answers)))
            await asyncio.sleep(period)

    senders = [asyncio.create_task(traffic(PERIOD_S, ("permit", "export")))]
    await asyncio.sleep(3)
    senders.append(asyncio.create_task(traffic(STAMP_PERIOD_S, ("stamp",))))
    await asyncio.sleep(STAMP_WORK_S + 0.03)
    if TROUBLE:
        links[0].cut()
        case.record.say("the link between", gateways[0].name, "and the store falls silent")
    await asyncio.sleep(0.05)
    successor = await case.add_worker(store, "cert-registry", ZONE)
    successor.work = leaving.work
    await asyncio.sleep(0.05)
    drained = await leaving.report_draining()
    case.record.say(f"the store acknowledges that {leaving.id} is draining; its successor "
                    f"{successor.id} is ready")
    acknowledged = await store.put_json("keyed.op", "config", st.configuration(
        9, [STAMP, {**MOVED, "service": "permits-new"}, ADDED], SERVICES))
    case.record.say("the store acknowledges version 9: /permit/ moves to permits-new, /export/ is "
                    "added")

    async def exit_later():
        await asyncio.sleep(drained + DRAIN_S + LINGER_S - time.monotonic())
        await leaving.leave()

    exiting = asyncio.create_task(exit_later())
    # Shows that the judged gateway's link to the store works all the while.
    until = acknowledged + CUT_S - 0.2
    while time.monotonic() < until:
        probe = await st.fetch(links[1].address, "GET",
                               "/dragonflystair/log-newest?topic=keyed.op&part=0", {}, timeout=1.0)
        if probe is None or probe.status != 200:
            raise st.CannotRun("the judged gateway's link to the store does not work")
        await asyncio.sleep(0.25)
    case.record.write("all calls over the store link of", judged.name, "were answered")
    links[0].heal()
    await exiting
    await asyncio.sleep(3)
    for sender in senders:
        sender.cancel()
    await asyncio.gather(*tasks)
    by_id = {request_id: (kind, answer) for request_id, kind, answer in answers}
    late = [(at - drained, request_id) for at, request_id in leaving.runs
            if at - drained > DRAIN_S]
    for after, request_id in late:
        answer = by_id[request_id][1]
        case.record.say(f"DRAIN: {request_id} reached {leaving.id} {after:.2f} s after the "
                        f"acknowledgement that it leaves; the client got {answer.status}")
    runs_old = {request_id for worker in old for _, request_id in worker.runs}
    stale = [answer.sent_at - acknowledged for request_id, kind, answer in answers
             if answer.sent_at - acknowledged > APPLY_S
             and (request_id in runs_old or (kind == "export" and answer.status == 404))]
    case.record.say(f"besides, {len(stale)} requests sent later than {APPLY_S} s after the "
                    "acknowledgement of version 9 were handled as only version 7 allows"
                    + (f", the last one {max(stale):.2f} s after it" if stale else ""))
    case.record.say(f"{len(successor.runs)} requests ran at the successor")
    if not successor.runs:
        raise st.CannotRun("no request reached the successor")
    return bool(late)


st.main(HERE, play)
