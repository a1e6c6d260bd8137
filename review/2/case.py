"""Peers stop in the middle of a request and stay. Do the other clients still get their final answers?"""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins import (Backend, Discovery, Proxy, Reader, answer, member, request_class,  # noqa: E402
                      request_head, run_case, settings)

# The smallest number of descriptors that the pages give a proxy.
SOCKETS, MEMORY_MB = 256, 128
PEERS = 200
# Each peer sends the head and half of the body of a request, then nothing more.
PEER_BODY_BYTES = 1 << 20
CLIENTS, REQUESTS = 8, 3
CLASS, EFFECT, TIME_LEFT_MS = "calibration-log", "fragile", 3000
# The pages allow 0.5 s after the client's time, and extend each limit by 0.05 s. The rest is for this test's threads.
LATEST_S = TIME_LEFT_MS / 1000 + 0.55 + 0.45
# Peers are owed an error or a close within 3 s. This is only recorded.
PEER_S = 3.0


def case(record, folder, trouble, started):
    def serve(connection, sock, reader):
        while True:
            _, headers = reader.head()
            reader.body(headers)
            request = headers["x-correlation-id"]
            record(f"run      {request}")
            time.sleep(0.02)
            sock.sendall(answer("200 OK", f"result of {request}".encode()))

    backends = [Backend(serve) for _ in range(3)]
    discovery = Discovery([member(f"s-{i}", backend.address) for i, backend in enumerate(backends)])
    classes = [request_class(CLASS, EFFECT, 600, TIME_LEFT_MS)]
    proxy = Proxy(discovery, settings(classes), folder, record, MEMORY_MB, SOCKETS)
    started.append(proxy.process)
    lost, counts, peer_times, lock = [], {}, [], threading.Lock()
    sent = threading.Barrier(PEERS + 1) if trouble else None
    ended = threading.Event()

    def peer(number):
        sock = proxy.connect(5)
        at = time.monotonic()
        half = b"x" * (PEER_BODY_BYTES // 2)
        try:
            sock.sendall(request_head(CLASS, EFFECT, f"peer-{number}", TIME_LEFT_MS, PEER_BODY_BYTES) + half)
        except OSError as error:
            record(f"peer     {number} was closed while it wrote ({type(error).__name__})")
        sent.wait()
        sock.settimeout(60)
        try:
            got = sock.recv(100).split(b"\r\n")[0]
        except OSError as error:
            got = type(error).__name__
        if ended.is_set():
            return
        with lock:
            peer_times.append(time.monotonic() - at)
        record(f"peer     {number} got {got!r} after {time.monotonic() - at:.3f} s")

    def count(result):
        with lock:
            counts[result] = counts.get(result, 0) + 1

    def client(number):
        # A connection of its own for each request.
        for i in range(REQUESTS):
            request = f"r-{number}-{i}"
            try:
                sock = proxy.connect(LATEST_S)
                sock.sendall(request_head(CLASS, EFFECT, request, TIME_LEFT_MS, 5) + b"hello")
            except OSError as error:
                record(f"refused  {request}: the connection ({type(error).__name__}); it does not count")
                count("connection refused")
                continue
            written = time.monotonic()
            record(f"sent     {request}")
            try:
                reader = Reader(sock)
                line, headers = reader.head()
                body = reader.body(headers)
                record(f"answered {request}: {line.split()[1]} {body!r} after {time.monotonic() - written:.3f} s")
                count(line.split()[1])
            except TimeoutError:
                took = time.monotonic() - written
                record(f"LOST     {request}: no answer and no close {took:.3f} s after its last byte")
                count("lost")
                lost.append(request)
            except (OSError, EOFError) as error:
                # With all descriptors in use, a new connection may be shut unread.
                record(f"shut     {request}: {type(error).__name__}; it does not count")
                count("shut")
            sock.close()

    if trouble:
        for i in range(PEERS):
            threading.Thread(target=peer, args=(i,), daemon=True).start()
        sent.wait()
        record(f"{PEERS} peers have sent half of a request")
    threads = [threading.Thread(target=client, args=(i,)) for i in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    ended.set()
    over = sum(1 for seconds in peer_times if seconds > PEER_S)
    record(f"of {PEERS if trouble else 0} peers, {len(peer_times)} got an error or a close, {over} of them after more than {PEER_S} s")
    record(f"requests {counts}, lost {len(lost)}")
    return not lost


run_case(HERE, case)
