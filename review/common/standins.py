"""Stand-ins of the platform, the runners and the clients for the review's scripts.

Everything listens on loopback addresses. Each machine of the system has an address of its own and
the same ports, as in a deployment. Only the Python standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import tempfile
import time

REPO = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
EDGE = os.path.join(REPO, "target/apps/geranium_edge/geranium_edge")
METRICS_PORT = 9464
HEARTBEAT_S = 1.2


class Record:
    """Writes what was sent, answered and run, with seconds since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, kind, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.3f} {kind} {text}\n")

    def close(self):
        self.file.close()


class Addresses:
    """Loopback addresses and ports that are free now."""

    def __init__(self):
        self.net = f"127.{random.randint(60, 250)}.{random.randint(1, 250)}"
        self.used = 0
        self.front, self.ready, self.control, self.digest, self.store = (
            random.sample(range(21000, 29000), 5)
        )
        self.next_port = random.randint(11000, 18000)

    def machine(self):
        self.used += 1
        return f"{self.net}.{self.used}"

    def port(self):
        while True:
            self.next_port += 1
            with socket.socket() as probe:
                try:
                    probe.bind((f"{self.net}.1", self.next_port))
                    return self.next_port
                except OSError:
                    continue


class Message:
    def __init__(self, first_line, headers, body=b""):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_chunks(reader):
    """Yields the chunks of a chunked body."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_message(reader):
    message = await read_head(reader)
    length = message.get("content-length")
    if length:
        message.body = await reader.readexactly(int(length))
    elif "chunked" in message.get("transfer-encoding"):
        message.body = b"".join([chunk async for chunk in read_chunks(reader)])
    return message


def encode_response(status, headers, body):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def reset_connection(writer):
    """Ends a connection with a reset."""
    endpoint = writer.get_extra_info("socket")
    if endpoint is not None and endpoint.fileno() >= 0:
        endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """A loopback HTTP server; `serve` answers one request and returns True to keep the connection."""

    def __init__(self, address, port, serve):
        self.address, self.port, self.serve = address, port, serve
        self.server = None
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(self.session, self.address, self.port, limit=1 << 20)

    async def session(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.serve(await read_message(reader), reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def close(self, reset=False):
        """Stops listening and ends the open connections."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            if reset:
                reset_connection(writer)
            else:
                writer.close()


class Store:
    """The platform's store: items, watches and drills (a restore from an older copy)."""

    def __init__(self, address, port, record, era=1):
        self.record = record
        self.items = {}
        self.events = []
        self.revision = 100
        self.first_kept = 100
        self.era = era
        self.is_down = False
        self.changed = asyncio.Condition()
        self.server = Server(address, port, self.serve)

    async def put(self, key, value):
        """Writes an item; None removes it."""
        if value is None and key not in self.items:
            return
        self.revision += 1
        item = {"key": key, "rev": self.revision}
        if value is None:
            del self.items[key]
            item["removed"] = True
        else:
            created = self.items[key]["created"] if key in self.items else self.revision
            text = base64.b64encode(json.dumps(value).encode()).decode()
            item = {"key": key, "value": text, "rev": self.revision, "created": created, "lease": 0}
            self.items[key] = item
        self.events.append(item)
        if not key.startswith("servers/"):
            self.record("store", write=key, rev=self.revision, era=self.era,
                        version=(value or {}).get("version", "-"))
        async with self.changed:
            self.changed.notify_all()

    def copy(self):
        return dict(self.items), self.revision

    async def go_down(self, for_s):
        """The store is down: its connections are reset and new ones are refused."""
        self.record("store", down_s=for_s)
        self.is_down = True
        await self.server.close(reset=True)
        await asyncio.sleep(for_s)
        await self.server.open()
        self.is_down = False
        self.record("store", down="over")

    async def restore(self, copy, away_s, pending=()):
        """A drill: the store is away for a moment and comes back from a copy. `pending` are writes of
        the operator, who tries again until the store takes them."""
        await self.server.close(reset=True)
        self.record("store", drill="away")
        await asyncio.sleep(away_s)
        self.items, self.revision = dict(copy[0]), copy[1]
        self.events, self.first_kept = [], self.revision
        self.era += 1
        for key, value in pending:
            await self.put(key, value)
        await self.server.open()
        self.record("store", drill="back", rev=self.revision, era=self.era)

    async def serve(self, request, reader, writer):
        path, _, query = request.first_line.split(" ")[1].partition("?")
        fields = dict(part.partition("=")[::2] for part in query.split("&") if part)
        prefix = fields.get("pathPrefix", "")
        status, body = 404, {}
        if path == "/-/kv-range":
            after = fields.get("afterRev", "")
            entries = [self.items[key] for key in sorted(self.items)
                       if key.startswith(prefix) and key > after]
            status, body = 200, {"entries": entries[:500], "hasMore": len(entries) > 500,
                                 "currentRev": self.revision}
        elif path == "/-/kv-watch":
            status, body = await self.watch(prefix, int(fields["afterRev"]), int(fields["waitMs"]))
        elif path == "/-/kv-key" and fields.get("key") in self.items:
            status, body = 200, {**self.items[fields["key"]], "currentRev": self.revision}
        headers = {"Content-Type": "application/json", "Store-Era": self.era}
        writer.write(encode_response(status, headers, json.dumps(body).encode()))
        await writer.drain()
        return True

    async def watch(self, prefix, after, wait_ms):
        if after < self.first_kept or after > self.revision:
            return 410, {}

        def found():
            return [event for event in self.events
                    if event["rev"] > after and event["key"].startswith(prefix)]

        if not found():
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait_for(found), wait_ms / 1000)
                except asyncio.TimeoutError:
                    pass
        return 200, {"events": found(), "currentRev": self.revision}


class Runner:
    """A runner of a service. `work(runner, request, writer)` answers a request that may run; without
    one it answers with a stream or a plain body after `work_s`."""

    def __init__(self, world, service, number, work=None, work_s=0.02, slots=96):
        self.world, self.service, self.work, self.work_s, self.slots = world, service, work, work_s, slots
        self.id = f"i-{service}-{number}"
        self.zone = world.zones[number % len(world.zones)]
        self.port = world.addresses.port()
        self.version = "v1"
        self.cold_until = 0.0
        self.running = 0
        self.seq = 0
        self.alive = False
        self.beats = None

    async def start(self, cold_s=0.0):
        self.born = int(time.time() * 1000)
        self.cold_until = time.monotonic() + cold_s
        self.server = Server(self.world.runner_address, self.port, self.serve)
        await self.server.open()
        self.alive = True
        self.beats = asyncio.create_task(self.beat())

    async def crash(self):
        """Ends like a killed process: nothing more is sent, its connections are reset."""
        self.alive = False
        self.beats.cancel()
        await self.server.close(reset=True)

    def entry(self):
        cold_ms = max(0, int((self.cold_until - time.monotonic()) * 1000))
        return {"service": self.service, "address": f"{self.world.runner_address}:{self.port}",
                "zone": self.zone, "version": self.version, "slots": self.slots, "state": "ready",
                "coldLeftMs": cold_ms, "seq": self.seq, "born": self.born}

    async def beat(self):
        # An entry changes only when more than `seq` changes.
        key, known = f"servers/{self.id}", None
        while True:
            if self.world.store.is_down:
                await asyncio.sleep(0.1)
                continue
            entry = self.entry()
            held = self.world.store.items.get(key)
            if held is None or {**entry, "seq": 0} != {**(known or {}), "seq": 0}:
                await self.world.store.put(key, entry)
                known = entry
            self.seq += 1
            await asyncio.sleep(HEARTBEAT_S)

    def headers(self, request):
        return {"Geraniumspread-Attempt-Id": request.get("geraniumspread-attempt-id"),
                "Geraniumspread-Server-Seal": f"seal.{self.id}.{self.born}",
                "Geraniumspread-Server-Load": f"{self.running},0,{self.slots}"}

    async def serve(self, request, reader, writer):
        if request.get("geraniumspread-expect-instance") not in ("", self.id):
            writer.write(encode_response(421, {"Geraniumspread-Instance-Id": self.id}, b""))
            await writer.drain()
            return True
        attempt = request.get("geraniumspread-attempt-id")
        self.world.record("run", runner=self.id, born=self.born, attempt=attempt,
                          line=request.first_line.replace(" ", "_"),
                          tenant=request.get("geraniumspread-tenant"))
        self.world.runs.append((time.monotonic(), self, attempt))
        self.running += 1
        # A runner drops a request when its connection closes.
        gone = asyncio.create_task(self.wait_for_close(reader))
        work = asyncio.create_task(self.answer(request, writer))
        try:
            await asyncio.wait({gone, work}, return_when=asyncio.FIRST_COMPLETED)
            return work.done() and not work.cancelled() and work.exception() is None and work.result()
        finally:
            gone.cancel()
            work.cancel()
            await asyncio.gather(gone, work, return_exceptions=True)
            self.running -= 1

    @staticmethod
    async def wait_for_close(reader):
        while not reader.at_eof():
            await asyncio.sleep(0.05)

    async def answer(self, request, writer):
        if self.work:
            return await self.work(self, request, writer)
        return await self.plain_answer(request, writer)

    async def plain_answer(self, request, writer):
        await asyncio.sleep(self.work_s)
        body = f"{self.id} {request.get('geraniumspread-attempt-id')}".encode()
        writer.write(encode_response(200, self.headers(request), body))
        await writer.drain()
        return True

    async def stream_answer(self, request, writer, events=5, first_s=0.1, pause_s=0.03):
        await asyncio.sleep(first_s)
        head = {**self.headers(request), "Content-Type": "text/event-stream",
                "Transfer-Encoding": "chunked"}
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in head.items())
                      + "\r\n").encode())
        last = int(request.get("last-event-id") or 0)
        for number in range(last + 1, events + 1):
            text = f"id: {number}\ndata: {self.id} {self.version}\n\n".encode()
            writer.write(f"{len(text):x}\r\n".encode() + text + b"\r\n")
            await writer.drain()
            await asyncio.sleep(pause_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Machine:
    """A machine of the system with one process of the deploy file's role."""

    def __init__(self, world, zone, number):
        self.world, self.zone = world, zone
        self.name = f"edge-{zone}-{number}"
        self.address = world.addresses.machine()
        self.settings = os.path.join(world.folder, f"{self.name}.toml")
        self.process = None
        self.started_at = 0.0
        self.incarnation = 0
        self.ready = False
        self.ends = []

    def write_settings(self):
        world, ports = self.world, self.world.addresses
        text = f"""
nodeName = "{self.name}"
role = "edge"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = "{self.address}"
zone = "{self.zone}"
region = "ga-piedmont"
internalPorts = [{ports.digest},{ports.digest + 15}]
seeds = [{",".join(f'"{m.address}:{ports.control}"' for m in world.machines[:3])}]
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform"]
[zones]
""" + "".join(f'{zone} = "ga-piedmont"\n' for zone in world.zones) + f"""
[listen]
front = "{self.address}:{ports.front}"
ready = "{self.address}:{ports.ready}"
control = "{self.address}:{ports.control}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = {world.memory_mb}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
outerMs = 5000
strictRevoke = false
revokeMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 52
coldFactor = 1.5
coldSlack = 5
evacuateMs = 5000
recoveryS = 12
passMs = 120
reuseWindowS = 10
capFactor = 2
[platform]
address = "{world.store.server.address}:{world.store.server.port}"
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
"""
        with open(self.settings + ".new", "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(self.settings + ".new", self.settings)

    async def start(self):
        self.incarnation += 1
        log = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["GERANIUMSPREAD_SETTINGS"] = self.settings
        self.process = await asyncio.create_subprocess_exec(
            EDGE, cwd=REPO, env=environment, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL)
        log.close()
        self.started_at = time.monotonic()
        self.world.record("platform", started=self.name, incarnation=self.incarnation)

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    def memory_bytes(self):
        """The process's resident memory."""
        try:
            with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
        except (OSError, IndexError, ValueError):
            return 0

    async def ask_readiness(self):
        answer = await fetch(self.address, self.world.addresses.ready, "GET", "/-/readyz", {}, b"", 1.0)
        return answer.status == 200


class Answer:
    """What a client has seen: status 0 stands for a connection that ended without a whole head."""

    def __init__(self):
        self.status = 0
        self.headers = Message("", {})
        self.body = b""
        self.complete = False
        self.failure = ""
        self.kept = False


class Connection:
    """A client's connection; it is kept until an answer or its end closes it."""

    def __init__(self, address, port):
        self.address, self.port = address, port
        self.reader = self.writer = None
        # Answers that came on it so far.
        self.answers = 0

    async def open(self):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(self.address, self.port,
                                                                     limit=1 << 20)
            self.answers = 0

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.reader = self.writer = None


async def fetch(address, port, method, path, headers, body, timeout_s, kept=None):
    """Sends one request, on a new connection or on `kept`. `complete` is False for an answer that
    broke off."""
    answer = Answer()
    connection = kept or Connection(address, port)

    async def exchange():
        await connection.open()
        answer.kept = connection.answers > 0
        reader, writer = connection.reader, connection.writer
        lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
        if "Host" not in headers:
            lines.append("Host: localhost")
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        head = await read_head(reader)
        answer.status = int(head.first_line.split(" ")[1])
        answer.headers = head
        if "chunked" in head.get("transfer-encoding"):
            async for chunk in read_chunks(reader):
                answer.body += chunk
        else:
            answer.body = await reader.readexactly(int(head.get("content-length") or 0))
        answer.complete = True
        connection.answers += 1

    try:
        await asyncio.wait_for(exchange(), timeout_s)
    except asyncio.TimeoutError:
        answer.failure = "timeout"
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError) as error:
        answer.failure = type(error).__name__
    if not kept or not answer.complete or "close" in answer.headers.get("connection").lower():
        connection.close()
    return answer


class World:
    """A small deployment: a store, runners, machines in zones and what a script does with them."""

    def __init__(self, record_path, memory_mb=260):
        self.record = Record(record_path)
        self.temporary = tempfile.TemporaryDirectory(prefix="geranium-review-")
        self.folder = self.temporary.name
        self.addresses = Addresses()
        self.zones = ["piedmont-a", "piedmont-b", "piedmont-c"]
        self.memory_mb = memory_mb
        self.runner_address = self.addresses.machine()
        self.store = Store(self.addresses.machine(), self.addresses.store, self.record)
        self.machines = []
        self.runners = []
        self.runs = []
        self.attempts = 0
        self.trouble = os.environ.get("TROUBLE", "1") != "0"

    async def start(self, config, runners, machines_per_zone=1):
        await self.store.server.open()
        self.runners = runners
        for runner in runners:
            await runner.start()
        await self.store.put("op/config", config)
        for number in range(machines_per_zone):
            self.machines += [Machine(self, zone, number + 1) for zone in self.zones]
        for machine in self.machines:
            machine.write_settings()
            await machine.start()
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline:
            if all([await machine.ask_readiness() for machine in self.machines]):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the machines didn't become ready")

    def attempt_id(self):
        self.attempts += 1
        return f"{self.attempts:08x}{random.getrandbits(32):08x}"

    async def request(self, machine, method, path, key, deadline_ms, headers=None, body=b"",
                      kept=None):
        """Sends one client attempt to a machine and records the answer."""
        attempt = self.attempt_id()
        sent = {"Host": "plaques.example", "Geraniumspread-Attempt-Id": attempt,
                "Geraniumspread-Deadline-Ms": deadline_ms, "Api-Key": key, **(headers or {})}
        self.record("sent", attempt=attempt, machine=machine.name, line=f"{method}_{path}", key=key)
        sent_at = time.monotonic()
        answer = await fetch(machine.address, self.addresses.front, method, path, sent, body,
                             deadline_ms / 1000, kept)
        answer.attempt, answer.sent_at, answer.machine = attempt, sent_at, machine
        self.record("answered", attempt=attempt, machine=machine.name, status=answer.status,
                    complete=answer.complete, failure=answer.failure or "-", kept=answer.kept,
                    seal=answer.headers.get("geraniumspread-server-seal", "-"))
        return answer

    async def stop(self):
        for machine in self.machines:
            if machine.is_running():
                await machine.kill()
        for runner in self.runners:
            if runner.alive:
                await runner.crash()
        await self.store.server.close(reset=True)
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for name in os.listdir(self.folder):
                with open(os.path.join(self.folder, name), "rb") as source:
                    with open(os.path.join(keep, name), "wb") as target:
                        target.write(source.read())
        self.temporary.cleanup()


def run(record_path, story, memory_mb=260):
    """Runs a story, writes its record and returns the script's exit code: 1 broken, 0 held, 2 could
    not run."""

    async def play():
        world = World(record_path, memory_mb)
        # A script that is stopped early ends its processes too.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            broken, verdict = await asyncio.wait_for(story(world), 115)
            world.record("verdict", rule="broken" if broken else "held", because=verdict)
            print(("broken: " if broken else "held: ") + verdict)
            return 1 if broken else 0
        except Exception as error:  # the case could not run
            world.record("verdict", rule="not_run", because=repr(error))
            print(f"not run: {error!r}")
            return 2
        finally:
            await world.stop()
            world.record.close()

    if not os.path.exists(EDGE):
        print("not run: the program of the deploy file is not built")
        return 2
    return asyncio.run(play())
