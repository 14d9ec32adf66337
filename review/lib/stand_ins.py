"""Stand-ins for the platform's store, workers and clients, and a runner for gateways.

Everything listens on loopback addresses and runs on the real clock. The stand-ins follow the
platform's pages; faults are injected only by the methods that the cases call.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HEARTBEAT_S = 1.2
STORE_ANSWER_S = 0.004
TEMPLATE = os.path.join(ROOT, "deploy", "gateway.ini")
DEPLOY = os.path.join(ROOT, "deploy", "system.toml")


class CannotRun(Exception):
    """The case could not be set up; this says nothing about the system."""


class Record:
    """Writes what was sent, answered and run to record.txt of a case."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, *words):
        line = f"{self.now():8.3f} " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")

    def say(self, *words):
        self.write(*words)
        print(*words, flush=True)

    def close(self):
        self.file.close()


class Addresses:
    """Free loopback addresses. Hosts are derived from the process id, so that a restarted gateway
    finds its ports free again."""

    def __init__(self):
        pid = os.getpid()
        self.prefix = f"127.{64 + (pid >> 8) % 64}.{pid % 256}"
        self.last = 0

    def host(self, port=None):
        while self.last < 250:
            self.last += 1
            host = f"{self.prefix}.{self.last}"
            if port is None or self._is_free(host, port):
                return host
        raise CannotRun("no free loopback host")

    @staticmethod
    def _is_free(host, port):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, port))
                return True
            except OSError:
                return False

    @staticmethod
    def ports(host, count):
        probes = []
        for _ in range(count):
            probe = socket.socket()
            probe.bind((host, 0))
            probes.append(probe)
        ports = [probe.getsockname()[1] for probe in probes]
        for probe in probes:
            probe.close()
        return ports


class Message:
    """An HTTP request or response."""

    def __init__(self, first, headers, body, complete=True):
        self.first = first
        self.headers = headers
        self.body = body
        self.complete = complete

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Returns the words of the first line and the headers, or None at the end of the input."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), headers


async def read_chunks(reader, on_data=None):
    """Returns the body and whether its last chunk came."""
    body = b""
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body, True
            body += data[:-2]
            if on_data:
                on_data(data[:-2])
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return body, False


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    if headers.get("transfer-encoding", "") == "chunked":
        body, complete = await read_chunks(reader)
        return Message(first, headers, body) if complete else None
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(first, headers, body)


REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


def render(status, headers, body):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def query_of(target):
    pairs = target.split("?", 1)[1].split("&") if "?" in target else []
    return dict(pair.split("=", 1) for pair in pairs if "=" in pair)


class HttpServer:
    """Accepts connections and passes each request to `handle(request, writer)`, which returns
    whether the connection stays open."""

    def __init__(self, host, port=0):
        self.host = host
        self.port = port
        self.server = None
        self.tasks = set()
        self.writers = set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def listen(self):
        self.server = await asyncio.start_server(self._serve, self.host, self.port,
                                                 limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None or not await self.handle(request, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Ends as a killed process does: its connections are reset and its port is closed."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            if writer.transport:
                writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    async def handle(self, request, writer):
        raise NotImplementedError


class Store(HttpServer):
    """The platform's metadata store: keyed topics and groups."""

    def __init__(self, host):
        super().__init__(host)
        self.topics = {}
        self.waiting = set()
        self.groups = {}

    async def append(self, topic, key, value):
        """Appends a record of a keyed topic; returns the time of the acknowledgement."""
        log = self.topics.setdefault(topic, [])
        content = bytes([len(key)]) + key.encode() + value
        log.append(content)
        self._wake()
        return time.monotonic()

    def _wake(self):
        for waiter in self.waiting:
            if not waiter.done():
                waiter.set_result(None)
        self.waiting.clear()

    async def put_json(self, topic, key, value):
        return await self.append(topic, key, json.dumps(value).encode() if value else b"")

    async def handle(self, request, writer):
        await asyncio.sleep(STORE_ANSWER_S)
        path = request.first[1].split("?", 1)[0]
        query = query_of(request.first[1])
        calls = {"/dragonflystair/log-append": self._append, "/dragonflystair/log-read": self._read,
                 "/dragonflystair/log-newest": self._newest,
                 "/dragonflystair/log-join": self._join, "/dragonflystair/log-leave": self._leave}
        if path not in calls:
            writer.write(render(404, {}, b""))
        else:
            status, kind, body = await calls[path](query, request)
            writer.write(render(status, {"Content-Type": kind}, body))
        await writer.drain()
        return True

    @staticmethod
    def _json(status, value):
        return status, "application/json", json.dumps(value).encode()

    async def _append(self, query, request):
        log = self.topics.setdefault(query["topic"], [])
        offset = len(log)
        body = request.body
        while len(body) >= 4:
            length = struct.unpack(">I", body[:4])[0]
            log.append(body[4:4 + length])
            body = body[4 + length:]
        self._wake()
        return self._json(200, {"offset": offset, "end": len(log)})

    async def _read(self, query, request):
        topic, start = query["topic"], int(query["from"])
        until = time.monotonic() + min(int(query.get("wait-ms", "0")), 30000) / 1000
        log = self.topics.setdefault(topic, [])
        while len(log) <= start and time.monotonic() < until:
            waiter = asyncio.get_running_loop().create_future()
            self.waiting.add(waiter)
            await asyncio.wait([waiter], timeout=until - time.monotonic())
            self.waiting.discard(waiter)
        body = struct.pack(">QQ", len(log), 0)
        for content in log[start:]:
            body += struct.pack(">I", len(content)) + content
        return 200, "application/octet-stream", body

    async def _newest(self, query, request):
        log = self.topics.setdefault(query["topic"], [])
        newest = {}
        for offset, content in enumerate(log):
            length = content[0]
            newest[content[1:1 + length].decode()] = (offset, content[1 + length:])
        keys = [key for key in sorted(newest) if newest[key][1] and key > query.get("after", "")]
        items = [{"key": key, "value": base64.b64encode(newest[key][1]).decode(),
                  "offset": newest[key][0]} for key in keys[:500]]
        return self._json(200, {"items": items, "has-more": len(keys) > 500, "end": len(log)})

    async def _join(self, query, request):
        call = json.loads(request.body)
        group = self.groups.setdefault(call["group"], {"generation": 0, "members": {},
                                                       "owner": None})
        now = time.monotonic()
        members = group["members"]
        for name in [name for name, until in members.items() if until < now]:
            del members[name]
            group["generation"] += 1
        if call["member"] not in members:
            group["generation"] += 1
        members[call["member"]] = now + call["ttl-ms"] / 1000
        if group["owner"] not in members:
            group["owner"] = call["member"]
            group["generation"] += 1
        parts = [["placement", 0, 0]] if group["owner"] == call["member"] else []
        return self._json(200, {"generation": group["generation"], "ttl-ms": call["ttl-ms"],
                                "parts": parts})

    async def _leave(self, query, request):
        call = json.loads(request.body)
        group = self.groups.get(call["group"])
        if group and group["members"].pop(call["member"], None):
            group["generation"] += 1
            if group["owner"] == call["member"]:
                group["owner"] = next(iter(group["members"]), None)
        return self._json(200, {})


class Worker(HttpServer):
    """A worker of a service. `work(request)` returns the seconds for which a plain request takes a
    slot; streams are written by `stream`."""

    def __init__(self, record, store, host, service, zone, slots=6, models=None, name=None):
        super().__init__(host)
        self.record = record
        self.store = store
        self.id = name or f"i-{random.randrange(1 << 40):010x}"
        self.service = service
        self.zone = zone
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.models = models
        self.state = "ready"
        self.born = 0
        self.up = False
        self.beats = None
        self.leaving = False
        self.running = {}
        self.runs = []
        self.work = lambda request: 0.03
        self.on_run = lambda request: None
        self.stream = None

    async def start(self):
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.leaving = False
        await self.listen()
        self.up = True
        self.record.write("worker", self.id, "starts at", self.address, "born", self.born)
        self.beats = asyncio.create_task(self._beat())

    def entry(self):
        entry = {"service": self.service, "addr": self.address, "zone": self.zone,
                 "version": "v1", "slots": self.slot_count, "state": self.state,
                 "cold-left-ms": 0, "seq": 0, "born": self.born}
        if self.models:
            entry.update({"stage": "mixed", "models": self.models})
        return entry

    async def _beat(self):
        while True:
            await self.store.put_json("keyed.servers", self.id, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def report_draining(self):
        """Reports that the worker leaves; returns the time of the store's acknowledgement."""
        self.state = "draining"
        self.leaving = True
        return await self.store.put_json("keyed.servers", self.id, self.entry())

    def crash(self, why):
        """Ends as a crashed process does: connections are reset, nothing is reported."""
        if not self.up:
            return
        self.up = False
        self.record.write("worker", self.id, "crashes:", why, "- in flight:",
                          " ".join(sorted(self.running)) or "none")
        self.beats.cancel()
        self.running.clear()
        self.stop()

    async def leave(self):
        """Ends after a planned leave: the entry is removed."""
        self.up = False
        self.beats.cancel()
        self.record.write("worker", self.id, "exits - in flight:",
                          " ".join(sorted(self.running)) or "none")
        self.running.clear()
        self.stop()
        await self.store.append("keyed.servers", self.id, b"")

    def common_headers(self, request):
        headers = {"Server-Stamp": f"stamp.{self.id}.{request.header('request-id')}",
                   "Request-Id": request.header("request-id"), "Instance-Id": self.id}
        if self.leaving:
            headers["Server-Leaving"] = "1"
        return headers

    async def handle(self, request, writer):
        method, target = request.first[0], request.first[1]
        expected = request.header("expect-instance")
        if expected and expected != self.id:
            writer.write(render(421, {"Instance-Id": self.id, "Not-Run": "1"}, b""))
            return True
        if target == "/healthz":
            writer.write(render(200, {"Instance-Id": self.id}, b""))
            return True
        if target == "/dragonflystair/report":
            body = json.dumps({"stage": "mixed", "models": self.models or [], "busy": False,
                               "seq": 0, "queued": 0, "running": len(self.running),
                               "kv-used": 0, "kv-total": 200000, "handles": 0,
                               "born": self.born}).encode()
            writer.write(render(200, {"Content-Type": "application/json"}, body))
            return True
        if target == "/dragonflystair/order":
            writer.write(render(200, {}, b"{}"))
            return True
        request_id = request.header("request-id")
        if not request_id:
            writer.write(render(400, {"Not-Run": "1"}, b""))
            return True
        async with self.slots:
            self.running[request_id] = time.monotonic()
            self.runs.append((time.monotonic(), request_id))
            self.record.write("worker", self.id, "runs", request_id, method, target)
            try:
                self.on_run(request)
                if not self.up:
                    return False
                if self.stream and method == "POST" and "/s/" in target:
                    return await self.stream(self, request, writer)
                await asyncio.sleep(self.work(request))
                body = f"done {request_id}".encode()
                writer.write(render(200, self.common_headers(request), body))
                await writer.drain()
                return True
            finally:
                self.running.pop(request_id, None)


class Proxy:
    """A link to one address that can fall silent in both directions: bytes are held up and new
    connections get no answer. No connection is closed."""

    def __init__(self, host, target):
        self.host = host
        self.target = target
        self.port = 0
        self.open = asyncio.Event()
        self.open.set()
        self.tasks = set()
        self.server = None

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def listen(self):
        self.server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self.open.wait()
            host, port = self.target.rsplit(":", 1)
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            await asyncio.gather(self._copy(reader, far_writer), self._copy(far_reader, writer))
        except (ConnectionError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _copy(self, reader, writer):
        while True:
            data = await reader.read(65536)
            await self.open.wait()
            if not data:
                writer.close()
                return
            writer.write(data)
            await writer.drain()

    def stop(self):
        if self.server:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()


def lookup(values, name):
    for part in name.split("."):
        if isinstance(values, list):
            values = values[int(part)] if int(part) < len(values) else None
        else:
            values = values.get(part) if isinstance(values, dict) else None
        if values is None:
            return ""
    return values


def fill_in(template, values):
    """Fills in the deploy file's template as DEPLOY.md describes: values and sections over tables."""

    def text(value):
        if isinstance(value, bool):
            return "true" if value else "false"
        return ",".join(text(item) for item in value) if isinstance(value, list) else str(value)

    def section(match):
        table = lookup(values, match.group(1)) or {}
        return "".join(match.group(2).replace("{{@}}", key).replace("{{.}}", text(value))
                       for key, value in table.items())

    filled = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.-]+)\}\}", lambda match: text(lookup(values, match.group(1))), filled)


# Of the largest VMs of the design (docs/design/shared-load.md).
LIMITS = {"cpu-share": 0.25, "memory-mb": 512, "max-fds": 10250}
BOUNDS = {"drain-ms": 2500, "grace-s": 8, "config-apply-ms": 2500, "retry-ratio": 0.2,
          "retry-window-s": 10, "retry-slack": 52, "lease-ms": 3000, "require-fence": True,
          "stable-ms": 4000, "ttl_max_s": 5}


class Gateway:
    """A gateway process, started with the command and the settings of the deploy file."""

    def __init__(self, record, addresses, folder, name, zone, zones):
        self.record = record
        self.name = name
        self.zone = zone
        self.zones = zones
        self.host = addresses.host(9464)
        front, ready, directory, control = addresses.ports(self.host, 4)
        self.front = f"{self.host}:{front}"
        self.ready = f"{self.host}:{ready}"
        self.directory = f"{self.host}:{directory}"
        self.control = f"{self.host}:{control}"
        self.settings = os.path.join(folder, f"{name}.ini")
        self.log = os.path.join(folder, f"{name}.log")
        self.process = None

    def write_settings(self, seeds, store, link=None):
        """`link` is the address of this gateway's own path to the store."""
        values = {"node": self.name, "zone": self.zone, "region": self.zones[self.zone],
                  "ip": self.host, "zones": self.zones, "seeds": seeds,
                  "listen": {"front": self.front, "ready": self.ready,
                             "directory": self.directory, "control": self.control},
                  "platform": {"addr": store}, "limits": LIMITS, "bounds": BOUNDS}
        with open(TEMPLATE, encoding="utf-8") as template, \
                open(self.settings, "w", encoding="utf-8") as out:
            text = fill_in(template.read(), values)
            out.write(text.replace(f"\nstore = {store}\n", f"\nstore = {link or store}\n"))

    async def start(self):
        with open(DEPLOY, "rb") as deploy:
            command = tomllib.load(deploy)["roles"]["gateway"]["run"].split(" ")
        command[command.index("--settings") + 1] = self.settings
        if not os.access(os.path.join(ROOT, command[0]), os.X_OK):
            raise CannotRun(f"{command[0]} has not been built")
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stdout=log,
                                                                stderr=log)
        self.record.write("gateway", self.name, "starts, process", self.process.pid)

    def signal(self, number):
        self.record.write("gateway", self.name, "gets", signal.Signals(number).name)
        try:
            self.process.send_signal(number)
        except ProcessLookupError:
            pass

    async def ended(self):
        code = await self.process.wait()
        self.record.write("gateway", self.name, "has ended with", code)
        return code

    async def is_ready(self):
        answer = await fetch(self.ready, "GET", "/dragonflystair/readyz", {}, timeout=1.0)
        return answer is not None and answer.status == 200

    async def wait_until_ready(self, timeout=10.0):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"gateway {self.name} did not become ready")

    def kill(self):
        if self.process and self.process.returncode is None:
            try:
                self.process.kill()
            except ProcessLookupError:
                pass


class Answer:
    """What a client saw of one request."""

    def __init__(self, status, headers, body, complete, sent_at, ended_at, end):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete
        self.sent_at = sent_at
        self.ended_at = ended_at
        self.end = end

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def fetch(address, method, path, headers, body=b"", timeout=5.0, on_sent=None):
    """Sends one request on a new connection, for which a client allows one second. Returns None if
    the connection could not be established."""
    host, port = address.rsplit(":", 1)
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
    except (OSError, asyncio.TimeoutError):
        return None
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in {"Host": "app.example", **headers}.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    try:
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        sent_at = time.monotonic()
        if on_sent:
            on_sent(sent_at)
        try:
            return await asyncio.wait_for(_read_answer(reader, sent_at), timeout)
        except asyncio.TimeoutError:
            return Answer(0, {}, b"", False, sent_at, time.monotonic(), "no answer in time")
    finally:
        writer.close()


async def _read_answer(reader, sent_at):
    def answer(status, headers, body, complete, end):
        return Answer(status, headers, body, complete, sent_at, time.monotonic(), end)

    head = await read_head(reader)
    if head is None:
        return answer(0, {}, b"", False, "connection closed without an answer")
    first, headers = head
    status = int(first[1])
    if headers.get("transfer-encoding", "") == "chunked":
        body, complete = await read_chunks(reader)
        return answer(status, headers, body, complete,
                      "complete" if complete else "broken off")
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return answer(status, headers, body, True, "complete")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        return answer(status, headers, getattr(error, "partial", b""), False, "broken off")


class Case:
    """Sets up a case, runs its `play(case)` and ends all that it started."""

    def __init__(self, folder, seed=1):
        self.folder = folder
        self.random = random.Random(seed)
        random.seed(seed)
        self.record = Record(folder)
        self.addresses = Addresses()
        self.temporary = tempfile.mkdtemp(prefix="review-")
        self.gateways = []
        self.servers = []
        self.requests = 0

    def request_id(self, prefix):
        self.requests += 1
        return f"{prefix}-{self.requests:05d}"

    async def add_store(self):
        store = Store(self.addresses.host())
        await store.listen()
        self.servers.append(store)
        return store

    async def add_worker(self, store, service, zone, **options):
        worker = Worker(self.record, store, self.addresses.host(), service, zone, **options)
        await worker.start()
        self.servers.append(worker)
        return worker

    def add_gateway(self, name, zone, zones):
        gateway = Gateway(self.record, self.addresses, self.temporary, name, zone, zones)
        self.gateways.append(gateway)
        return gateway

    async def play(self, work):
        try:
            broken = await asyncio.wait_for(work(self), 115)
        except CannotRun as error:
            self.record.say("could not run:", error)
            return 2
        except asyncio.TimeoutError:
            self.record.say("could not run: not finished within 115 s")
            return 2
        finally:
            for gateway in self.gateways:
                gateway.kill()
            for gateway in self.gateways:
                if gateway.process:
                    await gateway.process.wait()
            for server in self.servers:
                server.stop()
            self._keep_logs()
            shutil.rmtree(self.temporary, ignore_errors=True)
        self.record.say("the rule was broken" if broken else "the rule held")
        return 1 if broken else 0

    def _keep_logs(self):
        """Appends the gateways' log lines about changes to the record."""
        keep = os.environ.get("KEEP_LOGS")
        for gateway in self.gateways:
            if keep and os.path.exists(gateway.log):
                shutil.copy(gateway.log, keep)


def main(folder, work):
    async def run():
        case = Case(folder)
        try:
            return await case.play(work)
        except OSError as error:
            case.record.say("could not run:", error)
            return 2
        finally:
            case.record.close()

    async def run_and_exit():
        work = asyncio.ensure_future(run())
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, work.cancel)
        try:
            code = await work
        except asyncio.CancelledError:
            code = 2
        sys.stdout.flush()
        # Tasks of connections may still wait; all processes have ended, so nothing is left to do.
        os._exit(code)

    asyncio.run(run_and_exit())


ROUTE = {"host": "app.example", "slo-ms": 500, "priority": 1, "attempts": 1, "sticky": False,
         "resumable": False}


def configuration(version, routes, services):
    return {"version": version, "routes": [{**ROUTE, **route} for route in routes],
            "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}


PLAIN = {"health-path": "/healthz", "max-conns": 96, "protocol": "h1", "tls": False}
ENGINE = {"health-path": "/healthz", "max-conns": 360, "protocol": "h1", "tls": False,
          "engine": {"slots": 64, "kv-capacity": 268248, "kv-token-bytes": 163840,
                     "models": [{"name": "base", "weights-mb": 72700.0, "load-s": 0.6,
                                 "adapters": 0, "adapter-mb": 66.0}],
                     "weights-mb": 75300.0, "adapter-slots": 17, "loads-per-s": 6.1}}
BASE_MODEL = [{"name": "base", "version": 1, "adapters": []}]
