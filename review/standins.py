"""Stand-ins for discovery, backends and clients, and the start of the project's proxy. Standard library only."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


class CannotRun(Exception):
    """The case could not run (exit code 2)."""


class Record:
    """Writes what was sent, answered and run to record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:9.4f} {text}\n")
            self.file.flush()


def listener():
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    sock.listen(128)
    return sock


def address(sock):
    host, port = sock.getsockname()
    return f"{host}:{port}"


class Reader:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def more(self):
        data = self.sock.recv(65536)
        if not data:
            raise EOFError
        self.buffer += data

    def head(self):
        while b"\r\n\r\n" not in self.buffer:
            self.more()
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return lines[0], headers

    def exactly(self, length):
        parts, have = [self.buffer[:length]], min(len(self.buffer), length)
        self.buffer = self.buffer[length:]
        while have < length:
            data = self.sock.recv(min(1 << 20, length - have))
            if not data:
                raise EOFError
            parts.append(data)
            have += len(data)
        return b"".join(parts)

    def line(self):
        while b"\r\n" not in self.buffer:
            self.more()
        line, _, self.buffer = self.buffer.partition(b"\r\n")
        return line

    def body(self, headers):
        if headers.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while True:
                size = int(self.line().split(b";")[0], 16)
                if size == 0:
                    while self.line():
                        pass
                    return b"".join(parts)
                parts.append(self.exactly(size))
                self.line()
        return self.exactly(int(headers.get("content-length", "0")))


def answer(status, body=b"", extra=""):
    return (f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{extra}\r\n").encode() + body


class Discovery:
    """Lists the members, and answers a watch when its wait is over or the list has changed."""

    def __init__(self, members):
        self.members, self.revision = members, 1
        self.changed = threading.Condition()
        self.sock = listener()
        self.address = address(self.sock)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def list(self):
        return {"revision": self.revision, "complete": True, "members": self.members}

    def serve(self, sock):
        reader = Reader(sock)
        try:
            while True:
                line, _ = reader.head()
                query = dict(
                    pair.split("=") for pair in line.split()[1].partition("?")[2].split("&") if pair
                )
                after = int(query.get("after", -1))
                until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
                with self.changed:
                    while self.revision <= after and time.monotonic() < until:
                        self.changed.wait(until - time.monotonic())
                    if self.revision > after:
                        text = self.list()
                    else:
                        text = {"revision": self.revision, "complete": False, "members": []}
                sock.sendall(answer("200 OK", json.dumps(text).encode()))
        except (EOFError, OSError):
            sock.close()


def member(name, host_port, zone="a", kind="m"):
    return {"id": name, "host_port": host_port, "locality": zone, "flavor": kind, "cell": 0,
            "phase": "active", "size": 1.0, "up_since_ms": 0}


class Backend:
    """Calls serve(connection number, socket, reader) for each connection."""

    def __init__(self, serve):
        self.serve = serve
        self.sock = listener()
        self.address = address(self.sock)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        number = 0
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            number += 1
            threading.Thread(target=self.run, args=(number, sock), daemon=True).start()

    def run(self, number, sock):
        try:
            self.serve(number, sock, Reader(sock))
        except (EOFError, OSError):
            pass
        finally:
            sock.close()


class BackendProcess:
    """A backend in a process of its own, which can be stopped and continued. It serves each request with its id."""

    def __init__(self, record, started):
        self.process = subprocess.Popen([sys.executable, os.path.abspath(__file__), "backend"],
                                        stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, text=True)
        started.append(self.process)
        self.address = self.process.stdout.readline().strip()
        if not self.address:
            raise CannotRun("a backend did not start")
        threading.Thread(target=self.copy, args=(record,), daemon=True).start()

    def copy(self, record):
        for line in self.process.stdout:
            record(line.rstrip("\n"))

    def send_signal(self, number):
        self.process.send_signal(number)


def serve_as_process():
    def serve(connection, sock, reader):
        while True:
            _, headers = reader.head()
            length = len(reader.body(headers))
            request = headers["x-correlation-id"]
            print(f"run      {request}: {length} bytes on {sock.getsockname()[1]}", flush=True)
            sock.sendall(answer("200 OK", f"result of {request}".encode()))

    print(Backend(serve).address, flush=True)
    threading.Event().wait()


def settings(classes, **changes):
    """The settings of a small deployment, in the form of the wire page."""
    value = {
        "me": 0, "balancers": 1, "zone": 0, "failureDomains": ["a"], "kinds": ["m"],
        "membershipMode": "pushed", "classes": classes,
        "permissions": {"maxAttempts": 3, "secondCopies": False, "cancel": True, "probes": False,
                        "connIdleUs": 60_000_000, "multiplex": 1, "retryAfter": False,
                        "maxRetryAfterUs": 2_000_000, "dialTimeoutUs": 250_000, "maxOpen": 20_000},
        "safety": {"answerSlackUs": 20_000, "askWithinUs": 10_000_000, "coldFrom": 0.13,
                   "coldUs": 24_000_000, "drainGraceUs": 2_000_000, "fallMultiple": 3.0,
                   "fallUs": 3_000_000},
    }
    value.update(changes)
    return value


def request_class(name, effect, aim_ms, deadline_ms, ttl_ms=1_500):
    return {"name": name, "aimUs": aim_ms * 1000, "deadlineUs": deadline_ms * 1000, "worth": 1.0,
            "lateWorth": 0.0, "effect": effect, "group": "all", "keyTtlUs": ttl_ms * 1000,
            "streamed": False}


class Proxy:
    """The project's proxy, started with the command of the deploy file."""

    def __init__(self, discovery, proxy_settings, folder, record, memory_mb=192, sockets=1024):
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            command = tomllib.load(file)["run"]
        free = listener()
        self.host, self.port = free.getsockname()
        free.close()
        config = {
            "name": "n1", "listen": f"{self.host}:{self.port}", "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": discovery.list(), "settings": proxy_settings,
        }
        path = os.path.join(folder, "config.json")
        with open(path, "w") as file:
            json.dump(config, file)
        env = dict(os.environ, EDGE_CONFIG=path, EDGE_NAME="n1", EDGE_LISTEN=config["listen"],
                   EDGE_DISCOVERY=config["discovery"], TMPDIR=folder)
        env.pop("EDGE_FD", None)
        self.log = open(os.path.join(folder, "proxy.log"), "wb")
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=env,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        record(f"proxy started: {command}")
        until = time.monotonic() + 10
        while True:
            if self.process.poll() is not None:
                raise CannotRun("the proxy ended at its start")
            try:
                with socket.create_connection((self.host, self.port), 1) as sock:
                    sock.sendall(b"GET /up HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
                    if Reader(sock).head()[0].split()[1] == "200":
                        return
            except (OSError, EOFError):
                pass
            if time.monotonic() > until:
                raise CannotRun("the proxy is not ready after 10 s")
            time.sleep(0.05)

    def connect(self, timeout=30):
        sock = socket.create_connection((self.host, self.port), 5)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(timeout)
        return sock


def request_head(class_name, effect, number, time_left_ms, length, extra=""):
    method = "GET" if effect == "retryable" else "POST"
    key = f"Idempotency-Key: key-{number}\r\n" if effect == "dedup" else ""
    body = f"Content-Length: {length}\r\n" if method == "POST" else ""
    return (f"{method} /{class_name}?key=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: app.svc\r\n"
            f"X-Correlation-Id: {number}\r\nX-Service-Class: {class_name}\r\n"
            f"X-Time-Left-Ms: {time_left_ms}\r\n{key}{extra}{body}\r\n").encode()


def run_case(folder, case):
    """Runs case(record, temporary folder, trouble, started), which returns whether the rule held; exits 0, 1 or 2."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {'yes' if trouble else 'no'}")
    started = []

    def interrupt(number, frame):
        raise CannotRun(f"signal {number}")

    signal.signal(signal.SIGTERM, interrupt)
    signal.signal(signal.SIGINT, interrupt)
    code = 2
    with tempfile.TemporaryDirectory() as temporary:
        try:
            code = 0 if case(record, temporary, trouble, started) else 1
        except CannotRun as error:
            record(f"the case could not run: {error}")
        except Exception as error:  # The case is at fault, not the proxy.
            record(f"the case could not run: {type(error).__name__}: {error}")
        record({0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "no verdict"}[code])
        for process in started:
            if process.poll() is None:
                process.kill()
            process.wait()
    os._exit(code)


if __name__ == "__main__" and sys.argv[1:] == ["backend"]:
    serve_as_process()
