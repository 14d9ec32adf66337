"""One gateway is partitioned from the store; its neighbour, which reads the store through it, goes
on with the old configuration for longer than `config-apply-ms`."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import stand_ins as st

ZONE = "lahore-a"
ZONES = {"lahore-a": "lahore"}
APPLY_S = st.BOUNDS["config-apply-ms"] / 1000
CUT_S = 5.5  # The site file's own core_cut; the longest there is 6.5 s.
PERIOD_S = 0.1
ROUTE = {"name": "stamp-issue", "path-prefix": "/stamp/", "kind": "unsafe", "timeout-ms": 2000,
         "slo-ms": 250}
ADDED = {"name": "permit-file", "path-prefix": "/permit/", "kind": "unsafe", "timeout-ms": 2000,
         "slo-ms": 250, "service": "registry-new"}
SERVICES = [{"name": "registry-old", **st.PLAIN}, {"name": "registry-new", **st.PLAIN}]


async def send(case, gateway, kind, answers):
    request_id = case.request_id(kind)
    answer = await st.fetch(gateway.front, "POST", f"/{kind}/{request_id}",
                            {"Request-Id": request_id, "Deadline-Ms": "4000"}, b"stamp",
                            timeout=4.0)
    if answer is None:
        case.record.write("client", request_id, "could not connect to", gateway.name)
        return
    answers.append((request_id, gateway, kind, answer))
    case.record.write("client", request_id, "to", gateway.name, "sent at",
                      f"{answer.sent_at - case.record.start:.3f}", "status", answer.status,
                      answer.header("server-stamp") or "no stamp", answer.end)


async def play(case):
    store = await case.add_store()
    old = [await case.add_worker(store, "registry-old", ZONE) for _ in range(2)]
    new = [await case.add_worker(store, "registry-new", ZONE) for _ in range(2)]
    await store.put_json("keyed.op", "config", st.configuration(
        7, [{**ROUTE, "service": "registry-old"}], SERVICES))
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
    answers, tasks = [], []

    async def traffic():
        while True:
            for gateway in gateways:
                for kind in ("stamp", "permit"):
                    tasks.append(asyncio.create_task(send(case, gateway, kind, answers)))
            await asyncio.sleep(PERIOD_S)

    sender = asyncio.create_task(traffic())
    await asyncio.sleep(3)
    if case.trouble:
        links[0].cut()
        case.record.say("the link between", gateways[0].name, "and the store falls silent")
    await asyncio.sleep(0.2)
    acknowledged = await store.put_json("keyed.op", "config", st.configuration(
        9, [{**ROUTE, "service": "registry-new"}, ADDED], SERVICES))
    case.record.say("the store acknowledges version 9: /stamp/ moves to registry-new, /permit/ is "
                    "added")
    # Shows that the other gateway's link to the store works all the while.
    until = acknowledged + CUT_S - 0.2
    while time.monotonic() < until:
        probe = await st.fetch(links[1].address, "GET",
                               "/dragonflystair/log-newest?topic=keyed.op&part=0", {}, timeout=1.0)
        if probe is None or probe.status != 200:
            raise st.CannotRun("the other gateway's link to the store does not work")
        await asyncio.sleep(0.25)
    case.record.write("all calls over the store link of", gateways[1].name, "were answered")
    links[0].heal()
    if case.trouble:
        case.record.say("the link works again")
    await asyncio.sleep(4)
    sender.cancel()
    await asyncio.gather(*tasks)
    runs_old = {request_id for worker in old for _, request_id in worker.runs}
    runs_new = {request_id for worker in new for _, request_id in worker.runs}
    judged = gateways[1]  # The other one is out of touch while its link is cut and 4 s after.
    broken = []
    for request_id, gateway, kind, answer in answers:
        after = answer.sent_at - acknowledged
        if gateway is not judged or after <= APPLY_S:
            continue
        if request_id in runs_old or (kind == "permit" and answer.status == 404):
            broken.append((after, request_id, kind))
    served = sum(1 for item in answers if item[0] in runs_new and item[1] is judged)
    stamps = [item for item in broken if item[2] == "stamp"]
    case.record.say(f"of {judged.name}, in touch: {len(stamps)} requests sent later than "
                    f"{APPLY_S} s after the acknowledgement were run by the old service, "
                    f"{len(broken) - len(stamps)} were refused with 404, {served} ran at the new "
                    "service")
    if broken:
        case.record.say(f"they were sent {min(broken)[0]:.2f} to {max(broken)[0]:.2f} s after the "
                        "acknowledgement")
    if served < 10:
        raise st.CannotRun("too few requests reached the new service")
    return bool(broken)


st.main(HERE, play)
