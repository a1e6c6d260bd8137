"""Backends give some answers twice, the second time 4 ms late. Does each request get its own answer and run once?"""

import itertools
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins import (Backend, Discovery, Proxy, Reader, answer, member, request_class,  # noqa: E402
                      request_head, run_case, settings)

BACKENDS = 3
CLIENTS = 9
# The trouble is rare and soon over, so several proxies are played, one after another.
PLAYS, SECONDS = 5, 1.5
WORK_S = 0.02
# One answer in so many comes twice, and the second copy so much later ("some milliseconds late").
DOUBLED = 50
LATE_S = 0.004
# The request after such an answer is turned away, with and without the disruption: the backend's queue is full.
TURN_AWAY_S = 0.008
CLASS, EFFECT, TIME_LEFT_MS = "calibration-log", "fragile", 3000


def case(record, folder, trouble, started):
    held = True
    for number in range(PLAYS):
        record(f"play     {number + 1} of {PLAYS}")
        held &= play(record, folder, trouble, started)
    return held


def play(record, folder, trouble, started):
    answers = itertools.count(1)
    runs, lock = {}, threading.Lock()

    def serve(connection, sock, reader):
        place = f"on {sock.getsockname()[1]}, connection {connection}"
        is_full = False
        while True:
            _, headers = reader.head()
            reader.body(headers)
            request = headers["x-correlation-id"]
            if is_full:
                is_full = False
                record(f"turned   away {request} {place}")
                time.sleep(TURN_AWAY_S)
                sock.sendall(answer("503 Service Unavailable", b"", "X-Unprocessed: 1\r\n"))
                continue
            record(f"run      {request} {place}")
            with lock:
                runs[request] = runs.get(request, 0) + 1
            time.sleep(WORK_S)
            message = answer("200 OK", f"result of {request}".encode())
            sock.sendall(message)
            if next(answers) % DOUBLED == 0:
                is_full = True
                if trouble:
                    time.sleep(LATE_S)
                    sock.sendall(message)
                    record(f"second   answer to {request} {place}")

    backends = [Backend(serve) for _ in range(BACKENDS)]
    discovery = Discovery([member(f"s-{i}", backend.address) for i, backend in enumerate(backends)])
    classes = [request_class(CLASS, EFFECT, 600, TIME_LEFT_MS)]
    proxy = Proxy(discovery, settings(classes), folder, record)
    started.append(proxy.process)
    statuses, foreign = {}, []
    end = time.monotonic() + SECONDS

    def client(number):
        sock = proxy.connect()
        reader = Reader(sock)
        for i in itertools.count():
            if time.monotonic() > end:
                return
            request = f"r-{number}-{i}"
            record(f"sent     {request}")
            try:
                sock.sendall(request_head(CLASS, EFFECT, request, TIME_LEFT_MS, 5) + b"hello")
                line, headers = reader.head()
                body = reader.body(headers)
            except (OSError, EOFError) as error:
                record(f"broken   {request}: {type(error).__name__}")
                sock = proxy.connect()
                reader = Reader(sock)
                continue
            status = line.split()[1]
            record(f"answered {request}: {status} {body!r}")
            with lock:
                statuses[status] = statuses.get(status, 0) + 1
                if status == "200" and body != f"result of {request}".encode():
                    foreign.append(request)
                    record(f"FOREIGN  {request} was served with {body!r}")

    threads = [threading.Thread(target=client, args=(i,)) for i in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    proxy.process.terminate()
    twice = [request for request, count in runs.items() if count > 1]
    for request in twice:
        record(f"TWICE    {request} ran {runs[request]} times")
    record(f"answers by status {statuses}, served with another request's answer: {len(foreign)}, run twice: {len(twice)}")
    return not foreign and not twice


run_case(HERE, case)
