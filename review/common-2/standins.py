"""Stand-ins for the review cases: the platform's store, runners and callers, on loopback.

Everything runs in one asyncio loop; geranium_edge runs as processes of its own, started with the
command of deploy/system.toml. Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, *fields):
        self.file.write(f"{now():8.3f} " + " ".join(str(field) for field in fields) + "\n")

    def close(self):
        self.file.close()


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader):
    """Returns the bytes of the next chunk; empty at the last one."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while chunk := await read_chunk(reader):
            body += chunk
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        except OSError:
            pass
    writer.transport.abort()


def owner_inode(writer):
    """Returns the inode of the other end's socket, which tells the process of a loopback connection."""
    peer = writer.get_extra_info("peername")
    local = ("%08X:%04X" % (int.from_bytes(socket.inet_aton(peer[0]), "little"), peer[1]))
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table:
            fields = line.split()
            if fields[1] == local:
                return fields[9]
    return ""


def owns(edge, inode):
    """True if the socket belongs to the process of this edge."""
    folder = f"/proc/{edge.pid()}/fd"
    try:
        names = os.listdir(folder)
    except OSError:
        return False
    for name in names:
        try:
            if os.readlink(f"{folder}/{name}") == f"socket:[{inode}]":
                return True
        except OSError:
            pass
    return False


class Server:
    """A listener that can end like a process: its port refuses, its connections are reset."""

    # Edges whose connections are reset, as if a partition stood between them and the server.
    cut_edges = []

    def __init__(self, address, port):
        self.address = address
        self.port = port
        self.server = None
        self.writers = set()
        self.tasks = set()

    async def listen(self):
        self.server = await asyncio.start_server(
            self.accept, self.address, self.port, reuse_address=True, limit=1 << 20)

    def end(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)
        for task in list(self.tasks):
            task.cancel()

    def is_cut(self, writer):
        inode = owner_inode(writer)
        return any(owns(edge, inode) for edge in Server.cut_edges)

    def reset_cut(self):
        """Resets the open connections of the edges that are cut off."""
        for writer in list(self.writers):
            if self.is_cut(writer):
                reset(writer)

    async def accept(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            if Server.cut_edges and self.is_cut(writer):
                reset(writer)
                return
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError,
                asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.transport.abort() if writer.is_closing() else writer.close()


class Store:
    """The platform's store: linearizable reads, watches, one revision counter."""

    def __init__(self, addresses, port, era=None):
        self.items = {}
        self.history = []
        self.revision = 10
        self.era = era
        # Machines that the store turns away, by the address at which they call it; "*" for all.
        self.turned_away = set()
        self.silent = False
        self.changed = asyncio.Event()
        self.fronts = [StoreFront(self, address, port) for address in addresses]

    async def listen(self):
        for front in self.fronts:
            await front.listen()

    def end(self):
        for front in self.fronts:
            front.end()

    def take_away(self, addresses=("*",), silent=False):
        """Turns machines away: with 503, or without an answer."""
        self.turned_away = set(addresses)
        self.silent = silent
        self.wake()

    def bring_back(self):
        self.turned_away = set()
        self.wake()

    def is_away(self, address):
        return "*" in self.turned_away or address in self.turned_away

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value.encode()).decode(),
                           "rev": self.revision, "created": created, "lease": 0}
        self.history.append(self.items[key])
        self.wake()

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.history.append({"key": key, "rev": self.revision, "removed": True})
            self.wake()


class StoreFront(Server):
    # The store stays reachable while an edge is cut off from the runners.
    def is_cut(self, writer):
        return False

    def __init__(self, store, address, port):
        super().__init__(address, port)
        self.store = store

    async def serve(self, reader, writer):
        while True:
            line, headers = await read_head(reader)
            await read_body(reader, headers)
            path, _, query = line.split(" ")[1].partition("?")
            parameters = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
            status, body = await self.answer(path, parameters)
            if status is None:
                await asyncio.sleep(3600)
            text = json.dumps(body).encode()
            extra = "" if self.store.era is None else f"Store-Era: {self.store.era}\r\n"
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{extra}"
                         f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
            await writer.drain()

    def refuse(self):
        return (None, {}) if self.store.silent else (503, {})

    async def answer(self, path, parameters):
        store = self.store
        if store.is_away(self.address):
            return self.refuse()
        prefix = parameters.get("pathPrefix", "")
        if path == "/-/kv-range":
            after = parameters.get("afterRev", "")
            keys = [key for key in sorted(store.items) if key.startswith(prefix) and key > after]
            return 200, {"entries": [store.items[key] for key in keys[:500]],
                         "hasMore": len(keys) > 500, "currentRev": store.revision}
        if path == "/-/kv-key":
            item = store.items.get(parameters.get("key", ""))
            return (200, item) if item else (404, {})
        if path != "/-/kv-watch":
            return 404, {}
        after = int(parameters["afterRev"])
        end = now() + int(parameters["waitMs"]) / 1000
        while True:
            if store.is_away(self.address):
                return self.refuse()
            if after > store.revision:
                return 410, {}
            newest = {}
            for event in store.history:
                if event["rev"] > after and event["key"].startswith(prefix):
                    newest[event["key"]] = event
            if newest or now() >= end:
                events = sorted(newest.values(), key=lambda event: event["rev"])
                return 200, {"events": events, "currentRev": store.revision}
            try:
                await asyncio.wait_for(store.changed.wait(), max(0.001, end - now()))
            except asyncio.TimeoutError:
                pass


class Runner(Server):
    """A runner of a service. `handle(runner, request, writer)` answers; see `Request`."""

    def __init__(self, store, record, name, service, address, port, zone, handle, slots=64,
                 version="1"):
        super().__init__(address, port)
        self.store = store
        self.record = record
        self.id = name
        self.service = service
        self.zone = zone
        self.handle = handle
        self.slots = slots
        self.version = version
        self.born = 0
        self.cold_until = 0.0
        self.running = 0
        self.up = False

    async def start(self, version=None, cold_s=0.0):
        """Starts a new incarnation under the same id. It writes to the store as soon as it can."""
        self.version = version or self.version
        self.born = int(time.time() * 1000)
        self.cold_until = now() + cold_s
        self.running = 0
        self.up = True
        await self.listen()
        self.record("runner-start", self.id, "version", self.version, "cold_s", cold_s)
        asyncio.ensure_future(self.register(self.born))

    async def register(self, born):
        """Writes the entry, and again after each heartbeat if it changed or the store was away."""
        written = None
        while self.up and self.born == born:
            if "*" not in self.store.turned_away:
                cold_left = max(0, int((self.cold_until - now()) * 1000))
                entry = {"service": self.service, "address": f"{self.address}:{self.port}",
                         "zone": self.zone, "version": self.version, "slots": self.slots,
                         "state": "ready", "coldLeftMs": cold_left, "born": born}
                if written is None or (written["coldLeftMs"] > 0) != (cold_left > 0):
                    written = entry
                    self.store.put("servers/" + self.id, json.dumps(dict(entry, seq=1)))
                    self.record("runner-listed", self.id, "version", self.version, "cold_left_ms",
                                cold_left)
            await asyncio.sleep(0.1)

    def crash(self):
        """Ends like a crashed process. It sends nothing; its entry stays until it lapses."""
        if self.up:
            self.up = False
            self.record("runner-crash", self.id)
            self.end()

    async def serve(self, reader, writer):
        while True:
            request = Request(*await read_head(reader))
            request.body = await read_body(reader, request.headers)
            if request.target == "/healthz":
                writer.write(f"HTTP/1.1 200 OK\r\nGeraniumspread-Instance-Id: {self.id}\r\n"
                             f"Geraniumspread-Cold-Ms: {max(0, int((self.cold_until - now()) * 1000))}"
                             "\r\nContent-Length: 0\r\n\r\n".encode())
            elif request.headers.get("geraniumspread-expect-instance", self.id) != self.id:
                writer.write(f"HTTP/1.1 421 X\r\nGeraniumspread-Attempt-Id: {request.id}\r\n"
                             "Geraniumspread-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
            else:
                self.running += 1
                try:
                    await self.handle(self, request, writer)
                finally:
                    self.running -= 1
            await writer.drain()

    def head(self, request, status=200, extra=""):
        return (f"HTTP/1.1 {status} X\r\nGeraniumspread-Attempt-Id: {request.id}\r\n"
                f"Geraniumspread-Server-Seal: {self.id}.{self.born}\r\n{extra}").encode()

    async def answer(self, request, writer, body, status=200, extra=""):
        writer.write(self.head(request, status, extra) +
                     f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()


class Request:
    def __init__(self, line, headers):
        self.method, self.target, _ = line.split(" ")
        self.headers = headers
        self.id = headers.get("geraniumspread-attempt-id", "")
        self.body = b""


class Edge:
    """A process of geranium_edge with the settings of a small deployment."""

    def __init__(self, folder, name, address, zone, zones, seeds, store_address, ports, bounds=None):
        self.name = name
        self.address = address
        self.zone = zone
        self.ports = ports
        self.path = os.path.join(folder, name + ".toml")
        self.log = os.path.join(folder, name + ".log")
        self.process = None
        limits = {"stableWindowMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 8,
                  "lossSlackMs": 200, "configMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000,
                  "budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 52, "coldFactor": 1.5,
                  "coldSlack": 5, "evacuateMs": 5000, "recoveryS": 12, "passMs": 120,
                  "capFactor": 2, **(bounds or {})}
        seed_list = ",".join(f'"{seed}:{ports["control"]}"' for seed in seeds)
        lines = [f'nodeName = "{name}"', 'role = "edge"', 'machineClass = "edge"',
                 'serves = ["edge","control_plane"]', f'ip = "{address}"', f'zone = "{zone}"',
                 'region = "r"', f'internalPorts = [{ports["internal"]},{ports["internal"] + 15}]',
                 f"seeds = [{seed_list}]", "bootstrap = true", "heartbeatMs = 1200", "[zones]"]
        lines += [f'{entry} = "r"' for entry in zones]
        lines += ["[listen]", f'front = "{address}:{ports["front"]}"',
                  f'ready = "{address}:{ports["ready"]}"',
                  f'control = "{address}:{ports["control"]}"', "[limits]", "memoryMb = 260",
                  "maxFds = 4100", "[bounds]"]
        lines += [f"{key} = {value}" for key, value in limits.items()]
        lines += ["[platform]", f'address = "{store_address}:{ports["store"]}"', 'form = "read"',
                  "readsPerS = 2000", "historyS = 20", "valueBytes = 1048576"]
        with open(self.path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")

    def start(self):
        with open(os.path.join(REPOSITORY, "deploy/system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["edge"]["run"].split(" ")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["GERANIUMSPREAD_SETTINGS"] = self.path
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(command, cwd=REPOSITORY, env=environment, stdout=log,
                                            stderr=log, stdin=subprocess.DEVNULL)

    def send(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def pid(self):
        return self.process.pid if self.process else 0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.address, self.ports["ready"])
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in line
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False


class Answer:
    """What a caller saw of one attempt. `status` is 0 if there was no head."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False


async def call(edge, request_id, method, target, host, headers=(), body=b"", timeout=20.0,
               on_bytes=None):
    """Sends one request on a new connection and reads the whole answer."""
    answer = Answer()
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(edge.address, edge.ports["front"], limit=1 << 20), 1)
        lines = [f"{method} {target} HTTP/1.1", f"Host: {host}",
                 f"Geraniumspread-Attempt-Id: {request_id}", *headers,
                 f"Content-Length: {len(body)}", "Connection: close"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await asyncio.wait_for(finish(reader, answer, on_bytes), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer


async def finish(reader, answer, on_bytes):
    line, answer.headers = await read_head(reader)
    answer.status = int(line.split(" ")[1])
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while chunk := await read_chunk(reader):
            answer.body += chunk
            if on_bytes:
                on_bytes(answer)
    else:
        answer.body = await reader.readexactly(int(answer.headers.get("content-length", "0")))
    answer.complete = True


def free_ports():
    ports = {}
    for name in ("front", "ready", "control", "store"):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            ports[name] = probe.getsockname()[1]
    ports["internal"] = random.randrange(7000, 9000)
    ports["runner"] = random.randrange(15000, 28000)
    return ports


class Fleet:
    """A small deployment: a store, edges in zones and runners, in a temporary folder."""

    def __init__(self, zones, edges_per_zone=1, era=None, bounds=None):
        self.net = f"127.{random.randrange(2, 250)}.{random.randrange(1, 250)}"
        self.ports = free_ports()
        self.folder = tempfile.TemporaryDirectory()
        names = [(zone, index) for zone in zones for index in range(edges_per_zone)]
        addresses = [f"{self.net}.{10 + place}" for place in range(len(names))]
        stores = [f"{self.net}.{100 + place}" for place in range(len(names))]
        self.store = Store(stores, self.ports["store"], era)
        self.edges = [
            Edge(self.folder.name, f"edge-{zone}-{index + 1}", address, zone, zones, addresses[:3],
                 store, self.ports, bounds)
            for (zone, index), address, store in zip(names, addresses, stores)]
        self.stores = dict(zip((edge.name for edge in self.edges), stores))

    def runner_address(self, place):
        return f"{self.net}.{150 + place}"

    async def start(self):
        await self.store.listen()
        for edge in self.edges:
            edge.start()
        for _ in range(100):
            if all([await edge.is_ready() for edge in self.edges]):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the edges are not ready")

    def end(self):
        for edge in self.edges:
            edge.kill()
        self.store.end()
        self.folder.cleanup()


def config(version, routes, services, tenants=None):
    value = {"version": version, "routes": routes, "services": services,
             "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000,
                        "idleTimeoutMs": 20000}}
    if tenants is not None:
        value["tenants"] = tenants
    return json.dumps(value)


def run(main, folder):
    """Runs `main(record, trouble)`, which returns True if the rule was broken."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    random.seed()
    code = 2
    signal.signal(signal.SIGTERM, lambda *_: (_ for _ in ()).throw(KeyboardInterrupt()))
    try:
        broken = asyncio.run(asyncio.wait_for(main(record, trouble), 115))
        code = 1 if broken else 0
    except Exception as error:  # the case could not run
        record("could not run:", repr(error))
        print("could not run:", repr(error))
    finally:
        record("exit", code)
        record.close()
    return code
