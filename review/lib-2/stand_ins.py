"""Stand-ins of the platform's store, of workers and of clients, and a runner of gateways.

Everything listens on loopback addresses. The store and the workers run on the event loop of the
script; each gateway is a process of its own, started with the command of the deploy file and the
settings that its template gives.
"""
import asyncio
import base64
import json
import os
import socket
import struct
import subprocess
import threading
import time
from urllib.parse import parse_qs, urlsplit

# A loopback address of this script's own: neither other processes nor outgoing connections, which the
# system gives ports of 127.0.0.1, take a port there between its choice and its use.
HOST = f"127.{64 + os.getpid() // 65536 % 64}.{os.getpid() // 256 % 256}.{max(os.getpid() % 256, 1)}"
REPOSITORY = os.path.abspath(
    os.path.join(os.path.dirname(os.path.realpath(__file__)), "..", ".."))
PROGRAM = os.path.join(REPOSITORY, "target", "dragonflystair")


STARTED = []  # all processes that the script has started


def guard(seconds, record):
    """Ends all processes that the script has started, and the script, if it takes too long."""
    def expire():
        record.line("the case takes too long and could not run")
        for process in STARTED:
            if process.poll() is None:
                process.kill()
                process.wait()
        os._exit(2)
    timer = threading.Timer(seconds, expire)
    timer.daemon = True
    timer.start()


def run_case(main, record, seconds):
    """Runs the coroutine of a case and ends the process with its exit code: 1 if the rule was
    broken, 0 if it held, 2 if the case could not run."""
    texts = {0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}

    async def whole():
        try:
            code = await main()
        except Exception as error:  # the case could not run
            record.line(f"could not run: {error!r}")
            code = 2
        record.line(texts[code])
        # Without the clean-up of the event loop, which waits for connections.
        os._exit(code)

    guard(seconds, record)
    asyncio.run(whole())


TAKEN = set()  # ports given out: the system may give a closed one again


def free_port():
    while True:
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            port = probe.getsockname()[1]
        if port not in TAKEN:
            TAKEN.add(port)
            return port


class Record:
    """Lines of what was sent, answered and run, with the seconds since the start."""

    opened = []

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()
        self.opened.append(self)

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        parts = urlsplit(target)
        self.path = parts.path
        self.query = {k: v[0] for k, v in parse_qs(parts.query).items()}


async def read_head(reader):
    """Returns the start line and the headers, with names in lower case, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    headers = head[1]
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = await read_chunks(reader)
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def render(status, headers, body):
    lines = [f"HTTP/1.1 {status} S"] + [f"{k}: {v}" for k, v in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """HTTP/1.1 server of one request at a time on a connection."""

    idle_s = None  # time after which an idle connection is closed

    def __init__(self):
        self.server = None
        self.address = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(
            self.serve, HOST, port, limit=1 << 20, backlog=1024)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await asyncio.wait_for(read_request(reader), self.idle_s)
                if request is None or not await self.answer(request, reader, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError, asyncio.TimeoutError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's store: keyed topics of one partition, and groups whose only partition stays
    with its member for as long as that member renews."""

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.groups = {}
        self.waiting = set()

    async def put(self, topic, key, value):
        self.topics.setdefault(topic, []).append(
            (key.encode(), value.encode() if isinstance(value, str) else value))
        self.wake_readers()

    def wake_readers(self):
        for event in self.waiting:
            event.set()

    async def answer(self, request, reader, writer):
        status, body = await self.handle(request)
        await asyncio.sleep(0.004)
        writer.write(render(status, {"Content-Type": "application/json"}, body))
        return True

    async def handle(self, request):
        name = request.path.rsplit("/", 1)[-1]
        topic = request.query.get("topic", "")
        if name == "log-read":
            return await self.read(topic, int(request.query["from"]),
                                   int(request.query.get("wait-ms", "0")) / 1000)
        if name == "log-newest":
            return 200, self.newest(topic, request.query.get("after", ""))
        if name == "log-append":
            return await self.append(topic, request.body)
        if name == "log-join":
            return 200, self.join(json.loads(request.body))
        if name == "log-leave":
            body = json.loads(request.body)
            self.leave(body["group"], body["member"])
            return 200, b"{}"
        return 404, b"{}"

    async def read(self, topic, start, wait):
        log = self.topics.setdefault(topic, [])
        until = time.monotonic() + wait
        while len(log) <= start and time.monotonic() < until:
            event = asyncio.Event()
            self.waiting.add(event)
            try:
                await asyncio.wait_for(event.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
            finally:
                self.waiting.discard(event)
        if start > len(log):
            return 410, b'{"first":0}'
        out = struct.pack(">QQ", len(log), 0)
        for key, value in log[start:]:
            content = bytes([len(key)]) + key + value
            out += struct.pack(">I", len(content)) + content
        return 200, out

    def newest(self, topic, after):
        newest = {}
        log = self.topics.setdefault(topic, [])
        for offset, (key, value) in enumerate(log):
            newest[key.decode()] = (offset, value)
        items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                 for key, (offset, value) in sorted(newest.items()) if value and key > after]
        page = items[:500]
        return json.dumps({"items": page, "has-more": len(items) > 500, "end": len(log)}).encode()

    async def append(self, topic, body):
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b"{}"
        offset = len(self.topics.setdefault(topic, []))
        at = 0
        while at < len(body):
            (length,) = struct.unpack(">I", body[at:at + 4])
            content = body[at + 4:at + 4 + length]
            size = content[0]
            self.topics[topic].append((content[1:1 + size], content[1 + size:]))
            at += 4 + length
        self.wake_readers()
        return 200, json.dumps({"offset": offset, "end": len(self.topics[topic])}).encode()

    def expire(self, group):
        now = time.monotonic()
        for member in [m for m, until in group["members"].items() if until <= now]:
            self.drop(group, member)

    def drop(self, group, member):
        if group["members"].pop(member, None) is not None:
            group["generation"] += 1
        if group["owner"] == member:
            group["owner"] = next(iter(group["members"]), None)

    def join(self, body):
        group = self.groups.setdefault(body["group"],
                                       {"generation": 0, "members": {}, "owner": None})
        self.expire(group)
        member = body["member"]
        if member not in group["members"]:
            group["generation"] += 1
        group["members"][member] = time.monotonic() + body["ttl-ms"] / 1000
        group["owner"] = group["owner"] or member
        parts = [[body["topics"][0], 0, 0]] if group["owner"] == member else []
        return json.dumps({"generation": group["generation"], "ttl-ms": body["ttl-ms"],
                           "parts": parts}).encode()

    def leave(self, name, member):
        if name in self.groups:
            self.drop(self.groups[name], member)


class Worker(Server):
    """A worker. `run` answers the requests of clients; orders and reports follow PROTOCOL.md."""

    idle_s = 5

    def __init__(self, store, ident, service, zone, slots, models=None, adapter_slots=17,
                 adapter_s=0.25, run=None, known_adapters=None):
        super().__init__()
        self.known_adapters = known_adapters  # those named a1 to aN exist; None for any name
        self.store, self.ident, self.service, self.zone = store, ident, service, zone
        self.slots, self.models = slots, models
        self.adapter_slots, self.adapter_s = adapter_slots, adapter_s
        self.loading = set()
        self.run_request = run
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.seq = 0
        self.fence = 0
        self.running = 0
        self.crashed = None
        self.beat_task = None

    def entry(self):
        out = {"service": self.service, "addr": self.address, "zone": self.zone, "version": "v1",
               "slots": self.slots, "state": self.state, "cold-left-ms": 0, "born": self.born,
               "seq": self.seq}
        if self.models is not None:
            out["stage"] = "mixed"
            out["models"] = self.listed()
        return out

    def listed(self):
        return [{"name": name, "version": 1, "adapters": [f"{a}@1" for a in sorted(adapters)]}
                for name, adapters in self.models.items()]

    async def register(self):
        await self.store.put("keyed.servers", self.ident, json.dumps(self.entry()))

    async def beats(self):
        while True:
            await asyncio.sleep(1.2)
            await self.register()

    async def start(self, port=0):
        await super().start(port)
        await self.register()
        self.beat_task = asyncio.ensure_future(self.beats())
        return self

    def headers(self, request, stamp=True):
        out = {"Request-Id": request.headers.get("request-id", ""),
               "Keep-Alive": f"timeout={self.idle_s}"}
        if stamp:
            out["Server-Stamp"] = f"{self.ident}.{request.headers.get('request-id', '')}"
        return out

    async def answer(self, request, reader, writer):
        expected = request.headers.get("expect-instance")
        if expected is not None and expected != self.ident:
            writer.write(render(421, {**self.headers(request, False),
                                      "Instance-Id": self.ident}, b""))
            return True
        if request.path.endswith("/order"):
            status, body = self.order(json.loads(request.body))
            writer.write(render(status, self.headers(request, False), body))
            return True
        if request.path.endswith("/report"):
            writer.write(render(200, self.headers(request, False),
                                json.dumps(self.report()).encode()))
            return True
        model = request.headers.get("model", "")
        name, _, adapter = model.partition("/")
        if self.models is not None and (name not in self.models or (
                adapter and adapter not in self.models[name])):
            writer.write(render(421, {**self.headers(request, False), "Not-Run": "1"}, b""))
            return True
        if self.running >= self.slots * 2:
            writer.write(render(503, {**self.headers(request, False), "Not-Run": "1"}, b""))
            return True
        self.running += 1
        try:
            return await self.run_request(self, request, reader, writer)
        finally:
            self.running -= 1

    def report(self):
        return {"stage": "mixed", "models": self.listed(), "busy": False, "seq": self.seq,
                "born": self.born, "queued": 0, "running": self.running, "kv-used": 0,
                "kv-total": 268248, "handles": 0, "pending": [f"{m}/{a}@1" for m, a in self.loading]}

    def order(self, body):
        if "holder" not in body or "fence" not in body:
            return 400, b""
        if body["fence"] < self.fence:
            return 412, b""
        self.fence = body["fence"]
        model, adapter = body["model"], body.get("adapter")
        if self.models is None or model not in self.models or not adapter:
            return (200, b"") if self.models and model in self.models else (400, b"")
        if self.known_adapters is not None and not (
                adapter[1:].isdigit() and adapter[0] == "a"
                and 1 <= int(adapter[1:]) <= self.known_adapters):
            return 400, b""
        present = adapter in self.models[model]
        if (body["op"] == "load") == present and (model, adapter) not in self.loading:
            return 200, b""
        if body.get("precondition", self.seq) != self.seq or (model, adapter) in self.loading:
            return 409, b""
        self.seq += 1
        if body["op"] == "unload":
            self.models[model].discard(adapter)
            return 200, b""
        if len(self.models[model]) + len(self.loading) >= self.adapter_slots:
            self.crashed = f"{self.ident}: order to load {adapter} beyond adapter-slots"
        self.loading.add((model, adapter))
        asyncio.get_running_loop().call_later(self.adapter_s, self.loaded, model, adapter)
        return 202, b""

    def loaded(self, model, adapter):
        self.loading.discard((model, adapter))
        self.models[model].add(adapter)


def plain_run(work_s, body=b"x" * 800, note=None):
    async def run(worker, request, reader, writer):
        if note:
            note(worker, request)
        await asyncio.sleep(work_s)
        writer.write(render(200, worker.headers(request), body))
        return True
    return run


def stream_run(events, gap_s, note=None):
    async def run(worker, request, reader, writer):
        if note:
            note(worker, request)
        head = {**worker.headers(request), "Content-Type": "text/event-stream",
                "Transfer-Encoding": "chunked"}
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{k}: {v}\r\n" for k, v in head.items())
                      + "\r\n").encode())
        for number in range(1, events + 1):
            await asyncio.sleep(gap_s)
            event = f"id: {number}\ndata: token\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True
    return run


ZONES = {"lahore-a": "lahore", "multan-a": "multan", "peshawar-a": "peshawar"}


class Gateway:
    """One gateway process with the settings that deploy/gateway.ini gives on a `front` machine of
    the small deployment pankha-desk."""

    memory_mb = 260
    cpu_share = 0.25
    max_fds = 4100
    grace_s = 8

    def __init__(self, folder, name, zone, store, memory_mb=None):
        self.folder, self.name, self.zone, self.store = folder, name, zone, store
        self.memory_mb = memory_mb or self.memory_mb
        self.front, self.ready, self.directory, self.control, self.metrics = (
            f"{HOST}:{free_port()}" for _ in range(5))
        self.process = None
        self.more_limits = ""
        self.store_address = None

    def settings(self, seeds):
        zones = "".join(f"{zone} = {region}\n" for zone, region in ZONES.items())
        return (f"[gateway]\nname = {self.name}\ndata_centre = {self.zone}\n"
                f"region = {ZONES[self.zone]}\ncaller_address = {self.front}\n"
                f"ready_address = {self.ready}\nresolve_address = {self.directory}\n"
                f"peer_address = {self.control}\nmetrics_address = {self.metrics}\n"
                f"[peers]\naddresses = {','.join(seeds)}\n"
                f"[store]\nstore = {self.store_address or self.store.address}\n"
                f"[data_centres]\n{zones}"
                f"[secrets]\npeer_secret = {self.store.address}\n"
                f"[limits]\ncores = {self.cpu_share}\nretry_ratio = 0.2\nretry_slack = 52\n"
                "retry_window = 10s\nlease = 3000ms\nengines_check_fencing = true\n"
                f"shutdown_timeout = {self.grace_s}s\nmemory_mb = {self.memory_mb}\n"
                f"descriptors = {self.max_fds}\n{self.more_limits}")

    async def start(self, seeds):
        path = os.path.join(self.folder, self.name + ".ini")
        with open(path, "w") as file:
            file.write(self.settings(seeds))
        with open(os.path.join(self.folder, self.name + ".log"), "a") as log:
            self.process = subprocess.Popen(
                [PROGRAM, "gateway", "--settings", path], stdout=log, stderr=log, cwd=REPOSITORY,
                env={"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "LANG": "C"})
        STARTED.append(self.process)

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def memory(self):
        """Returns the resident memory in MB now, and its highest value so far."""
        now = peak = 0
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        now = int(line.split()[1]) / 1024
                    if line.startswith("VmHWM:"):
                        peak = int(line.split()[1]) / 1024
        except OSError:
            pass
        return now, peak

    def signal(self, number):
        if self.alive():
            self.process.send_signal(number)

    def end(self):
        if self.alive():
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def wait_ready(self, timeout=15):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            answer = await Client.once(self.ready, "GET", "/dragonflystair/readyz", {}, b"", 1)
            if answer and answer.status == 200:
                return True
            await asyncio.sleep(0.1)
        with open(os.path.join(self.folder, self.name + ".log")) as log:
            for record in Record.opened:
                record.line(f"{self.name} is not ready: {log.read()[-800:]}")
        return False


class Answer:
    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete


class Client:
    """One connection of a client."""

    def __init__(self, address):
        self.host, port = address.rsplit(":", 1)
        self.port = int(port)
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(self.host, self.port,
                                                                 limit=1 << 20)

    def close(self):
        if self.writer:
            self.writer.close()

    @staticmethod
    def text(method, target, headers, body):
        lines = [f"{method} {target} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body

    async def send(self, method, target, headers, body=b""):
        if self.writer is None:
            await self.connect()
        self.writer.write(self.text(method, target, headers, body))
        await self.writer.drain()

    async def receive(self):
        head = await read_head(self.reader)
        if head is None:
            return None
        status = int(head[0].split(" ")[1])
        headers = head[1]
        body, complete = b"", True
        try:
            if headers.get("transfer-encoding", "").lower() == "chunked":
                while True:
                    size = int((await self.reader.readuntil(b"\r\n")).split(b";")[0], 16)
                    body += await self.reader.readexactly(size)
                    await self.reader.readexactly(2)
                    if size == 0:
                        break
            elif "content-length" in headers:
                body = await self.reader.readexactly(int(headers["content-length"]))
            else:
                body = await self.reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            complete = False
        return Answer(status, headers, body, complete)

    async def ask(self, method, target, headers, body=b"", timeout=10):
        """Returns the answer, or None if the connection ends or the time passes before its head."""
        try:
            await self.send(method, target, headers, body)
            return await asyncio.wait_for(self.receive(), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None

    @staticmethod
    async def once(address, method, target, headers, body=b"", timeout=10):
        client = Client(address)
        try:
            return await client.ask(method, target, headers, body, timeout)
        finally:
            client.close()


def configuration(version=7, more_routes=(), **changes):
    """The configuration of a small deployment: the routes and services of the sheet's requests."""
    host = "ficu95.example"
    routes = [
        {"name": "r-query", "host": host, "path-prefix": "/query/", "kind": "stream",
         "timeout-ms": 4000, "slo-ms": 500, "priority": 1, "service": "fold-assistant",
         "attempts": 1, "sticky": True, "resumable": False, "gap-aim-ms": 300},
        {"name": "r-draft", "host": host, "path-prefix": "/draft/", "kind": "stream",
         "timeout-ms": 6000, "slo-ms": 1000, "priority": 0, "service": "fold-assistant",
         "attempts": 2, "sticky": True, "resumable": True, "gap-aim-ms": 300},
        {"name": "r-stamp", "host": host, "path-prefix": "/stamp/", "kind": "unsafe",
         "timeout-ms": 4000, "slo-ms": 250, "priority": 2, "service": "cert-registry",
         "attempts": 1},
        {"name": "r-lookup", "host": host, "path-prefix": "/lookup/", "kind": "safe",
         "timeout-ms": 4000, "slo-ms": 250, "priority": 2, "service": "cert-registry",
         "attempts": 2},
    ] + list(more_routes)
    engine = {"slots": 64, "kv-capacity": 268248, "kv-token-bytes": 163840,
              "link-mbps": 2200000.0, "moves": True, "backups": True, "stride": 7, "max-share": 12,
              "host-mb": 160000.0, "disk-mb": 460000.0, "pin-ms": 4000.0, "hold-ms": 2000.0,
              "handle_s": 5.0, "weights-mb": 75300.0, "adapter-slots": 17, "loads-per-s": 6.1,
              "models": [{"name": "m0", "weights-mb": 72700.0, "load-s": 0.6, "adapters": 3000,
                          "adapter-mb": 66.0, "warm-s": 0.32, "disk-s": 0.42}]}
    services = [
        {"name": "fold-assistant", "health-path": "/healthz", "max-conns": 360, "protocol": "h1",
         "tls": False, "engine": engine},
        {"name": "cert-registry", "health-path": "/healthz", "max-conns": 96, "protocol": "h1",
         "tls": False},
    ]
    return json.dumps({"version": version, "routes": routes, "services": services,
                       "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                                  "header-timeout-ms": 3000, "idle-timeout-ms": 15000}, **changes})


def request_headers(ident, deadline_ms=4000, **more):
    return {"Host": "ficu95.example", "Request-Id": ident, "Deadline-Ms": str(deadline_ms),
            **{k.replace("_", "-"): v for k, v in more.items()}}
