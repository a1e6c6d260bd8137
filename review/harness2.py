"""Stand-ins for the platform, discovery, backends and clients, shared by the cases 6 to 10.

Everything listens on 127.0.0.1 with free ports. The proxy is started with the `run` command of deploy/balancer.toml.
A case is a coroutine that gets a `World` and returns the list of the breaches that it saw.
"""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
LIMIT_S = 115
T0 = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - T0


class CannotRun(Exception):
    """The case could not be set up, which says nothing about the rule."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        line = f"{now():8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line)


# Messages ------------------------------------------------------------------------------------------------------------


class Message:
    def __init__(self, head, body):
        lines = head.decode("latin-1").split("\r\n")
        self.first = lines[0]
        self.headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                self.headers[name.strip().lower()] = value.strip()
        self.body = body
        self.body_length = len(body)

    @property
    def status(self):
        return int(self.first.split(" ")[1])

    @property
    def id(self):
        return self.headers.get("x-correlation-id", "-")


async def read_head(reader):
    """Returns the head of the next message; None at the end of the connection."""
    try:
        return await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


async def read_message(reader, on_head=None, on_data=None):
    """Reads one message; None if the connection ends before the message is complete."""
    head = await read_head(reader)
    if head is None:
        return None
    message = Message(head[:-4], b"")
    if on_head:
        on_head(message)
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                message.body_length += size
                if on_data:
                    on_data(message)
                if size == 0:
                    return message
                message.body += data[:-2]
        left = int(message.headers.get("content-length", 0))
        parts = []
        while left:
            data = await reader.read(min(left, 65536))
            if not data:
                return None
            parts.append(data)
            left -= len(data)
            message.body_length += len(data)
            if on_data:
                on_data(message)
        message.body = b"".join(parts)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return message


def response(status, body=b"", fields=""):
    return f"HTTP/1.1 {status}\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode() + body


def request(cls, rid, left_ms, body=b"", length=None):
    """A request as PROTOCOL describes it: its head, and its body as far as `body` gives it."""
    key = f"Idempotency-Key: key-{rid}\r\n" if cls["effect"] == "dedup" else ""
    length = len(body) if length is None else length
    head = (
        f"POST /{cls['name']}?key=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {rid}\r\n"
        f"X-Service-Class: {cls['name']}\r\nX-Time-Left-Ms: {left_ms}\r\n{key}Content-Length: {length}\r\n\r\n"
    )
    return head.encode() + body


# Discovery -----------------------------------------------------------------------------------------------------------


class Discovery:
    """Answers calls in the form of PROTOCOL: the whole list, and watches on changes."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.members = []
        self.changed = asyncio.Event()
        self.calls = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def set(self, members):
        self.revision += 1
        self.members = members
        self.changed.set()
        self.changed = asyncio.Event()

    def list(self):
        return {"revision": self.revision, "complete": True, "members": self.members}

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                self.calls += 1
                query = message.first.split(" ")[1].partition("?")[2]
                fields = dict(pair.split("=") for pair in query.split("&") if "=" in pair)
                answer = self.list()
                if "after" in fields and int(fields["after"]) >= self.revision:
                    wait = min(int(fields.get("wait_ms", 0)), 60000) / 1000
                    try:
                        await asyncio.wait_for(self.changed.wait(), wait)
                        answer = self.list()
                    except asyncio.TimeoutError:
                        answer = {"revision": self.revision, "complete": False, "members": []}
                writer.write(response("200 OK", json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def member(name, port, phase="active", up_since_ms=0):
    return {"id": name, "host_port": f"127.0.0.1:{port}", "locality": "lima-surco", "flavor": "std-single", "cell": 0,
            "phase": phase, "size": 1.0, "up_since_ms": up_since_ms}


# Backends ------------------------------------------------------------------------------------------------------------


class Backend:
    """A sound backend: begins a request once its last byte has arrived and then calls `handler(request, writer)`."""

    def __init__(self, name, record, handler, on_head=None):
        self.name, self.record, self.handler, self.on_head = name, record, handler, on_head
        self.requests = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader, self.on_head)) is not None:
                message.at, message.backend = now(), self.name
                self.requests.append(message)
                self.record(f"{self.name} has all of {message.id} ({message.body_length} bytes of body), told "
                            f"X-Time-Left-Ms {message.headers.get('x-time-left-ms')}")
                await self.handler(message, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def answers_after(seconds, body=b"served"):
    async def handler(message, writer):
        await asyncio.sleep(seconds)
        writer.write(response("200 OK", body + b" " + message.id.encode()))
    return handler


# The proxy -----------------------------------------------------------------------------------------------------------


def klass(name, effect, aim_ms, deadline_ms, worth):
    return {"name": name, "aimUs": aim_ms * 1000, "deadlineUs": deadline_ms * 1000, "worth": worth, "lateWorth": 0.0,
            "effect": effect, "group": "all", "keyTtlUs": 1500000, "streamed": False}


# The classes of lima-intake, as the settings in WIRE give them.
LOG = klass("calibration-log", "fragile", 600, 3000, 5.0)
BATCH = klass("reading-batch", "dedup", 500, 2500, 2.0)


def settings():
    """The settings that WIRE shows for lima-intake, for a deployment of one proxy in one data centre."""
    return {"me": 0, "balancers": 1, "zone": 0, "failureDomains": ["lima-surco"], "kinds": ["std-single"],
            "membershipMode": "on_request", "classes": [LOG, BATCH], "overShareWorth": 0.05, "weights": "none",
            "loadReport": {"fields": ["waiting", "cpu"], "via": "answers"},
            "permissions": {"cancel": True, "connIdleUs": 60000000, "dialTimeoutUs": 250000, "maxAttempts": 3,
                            "maxRetryAfterUs": 2000000, "multiplex": 1, "peers": False, "probes": False,
                            "retryAfter": False, "secondCopies": False},
            "safety": {"answerSlackUs": 20000, "askWithinUs": 10000000, "coldFrom": 0.13, "coldUs": 24000000,
                       "drainGraceUs": 2000000, "fallMultiple": 3.0, "fallUs": 3000000}}


class Proxy:
    def __init__(self, world, name, config, with_descriptor=False):
        self.world, self.name, self.config, self.with_descriptor = world, name, config, with_descriptor

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            run = tomllib.load(file)["run"]
        path = os.path.join(self.world.folder, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        env = dict(os.environ, EDGE_CONFIG=path, EDGE_NAME=self.name, TMPDIR=self.world.folder)
        env.pop("EDGE_FD", None)
        if self.with_descriptor:
            env["EDGE_FD"] = str(DESCRIPTOR)
        self.log = open(os.path.join(self.world.folder, f"{self.name}.log"), "wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=env, stdout=self.log, stderr=self.log,
            pass_fds=(DESCRIPTOR,) if self.with_descriptor else ())
        self.world.processes.append(self.process)
        self.world.record(f"platform starts proxy {self.name}")
        for _ in range(300):
            if self.process.returncode is not None:
                raise CannotRun(f"the proxy ended with {self.process.returncode}")
            if await self.is_up():
                self.world.record(f"proxy {self.name} answers /up with 200")
                return
            await asyncio.sleep(0.05)
        with open(self.log.name, "rb") as file:
            raise CannotRun(f"the proxy is not ready: {file.read()[-2000:]!r}")

    async def is_up(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.world.port)
            writer.write(b"GET /up HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 2)
            writer.close()
            return message is not None and message.status == 200
        except (OSError, asyncio.TimeoutError):
            return False

    def signal(self, number):
        self.world.record(f"platform sends {signal.Signals(number).name} to proxy {self.name}")
        try:
            self.process.send_signal(number)
        except ProcessLookupError:
            pass


DESCRIPTOR = 7


def open_descriptor():
    """Opens the clients' listening socket as the platform does, as descriptor 7. Call it before anything is opened."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", 0))
    listener.listen(1024)
    port = listener.getsockname()[1]
    os.dup2(listener.fileno(), DESCRIPTOR)
    listener.close()
    return port


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class World:
    def __init__(self, folder, record, port=None):
        self.folder, self.record = folder, record
        self.processes = []
        self.port = port or free_port()

    def config(self, discovery, memory_mb=128, sockets=1024):
        return {"name": "n1", "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{discovery.port}",
                "seed": "8c1f30d27a5be964",
                "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                "known": discovery.list(), "settings": settings()}

    async def backends(self, count, handler, on_head=None):
        """Starts backends, and discovery that lists them."""
        backends = [Backend(f"s-{i}", self.record, handler, on_head) for i in range(count)]
        for backend in backends:
            await backend.start()
        discovery = Discovery(self.record)
        await discovery.start()
        discovery.members = [member(backend.name, backend.port) for backend in backends]
        return backends, discovery

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 20)

    async def end(self):
        for process in self.processes:
            if process.returncode is None:
                try:
                    process.kill()
                except ProcessLookupError:
                    pass
                await process.wait()


def main(case, folder, with_descriptor=False):
    """Runs a case and exits with 0, 1 or 2. With `with_descriptor` the platform holds the clients' listening socket."""
    port = open_descriptor() if with_descriptor else None
    record = Record(os.path.join(folder, "record.txt"))

    async def play():
        with tempfile.TemporaryDirectory(prefix="tillerproxy-review-") as temp:
            world = World(temp, record, port)
            try:
                return await asyncio.wait_for(case(world), LIMIT_S - 10)
            finally:
                await world.end()

    try:
        breaches = asyncio.run(play())
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record(f"CANNOT RUN: {error!r}")
        sys.exit(2)
    for breach in breaches:
        record(f"BREACH: {breach}")
    record("RULE BROKEN" if breaches else "rule held")
    sys.exit(1 if breaches else 0)
