"""Two of ten backends hang. Does each request with a long body still get its final answer?"""

import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins import (BackendProcess, CannotRun, Discovery, Proxy, Reader, member,  # noqa: E402
                      request_class, request_head, run_case, settings)

BACKENDS, HANGING = 10, 2
CLIENTS = 16
ROUNDS = 4
# The kernel's buffers hold the end of such a body while the proxy does not read it.
BODY_BYTES = (9 << 19, 10 << 19, 11 << 19, 12 << 19, 13 << 19)
HANG_S = 20.0
CLASS, EFFECT, TIME_LEFT_MS = "calibration-log", "fragile", 3000
# The pages allow 0.5 s after the client's time, and extend each limit by 0.05 s. The rest is for this test's threads.
LATEST_S = TIME_LEFT_MS / 1000 + 0.55 + 0.45
# A client that cannot write its last byte gives up after this time. Its request does not count.
WRITE_S = 2.0
# Each client waits for this long, to see whether an answer comes later.
WAIT_S = 12.0


def case(record, folder, trouble, started):
    backends = [BackendProcess(record, started) for _ in range(BACKENDS)]
    discovery = Discovery([member(f"s-{i}", backend.address) for i, backend in enumerate(backends)])
    classes = [request_class(CLASS, EFFECT, 600, TIME_LEFT_MS)]
    proxy = Proxy(discovery, settings(classes), folder, record)
    started.append(proxy.process)
    taken, lost, statuses = [], [], {}

    def client(number):
        for i in range(ROUNDS):
            if lost:
                return
            send(f"r-{number}-{i}", BODY_BYTES[(number + i) % len(BODY_BYTES)])

    def send(request, length):
        sock = proxy.connect(WRITE_S)
        head = request_head(CLASS, EFFECT, request, TIME_LEFT_MS, length)
        try:
            sock.sendall(head + b"x" * length)
        except TimeoutError:
            record(f"gave up  {request}: its last byte could not be written, so it does not count")
            sock.close()
            return
        except OSError as error:
            record(f"broken   {request}: while it was written ({type(error).__name__}), so it does not count")
            return
        written = time.monotonic()
        record(f"sent     {request}: {length} bytes, the last one now")
        taken.append(request)
        sock.settimeout(WAIT_S)
        reader = Reader(sock)
        try:
            line, headers = reader.head()
            body = reader.body(headers)
            took = time.monotonic() - written
            status = line.split()[1]
            record(f"answered {request}: {status} {body!r} after {took:.3f} s")
            statuses[status] = statuses.get(status, 0) + 1
            if took > LATEST_S:
                lost.append(request)
        except (OSError, EOFError) as error:
            took = time.monotonic() - written
            record(f"LOST     {request}: no answer {took:.3f} s after its last byte ({type(error).__name__})")
            lost.append(request)
        sock.close()

    if trouble:
        for backend in backends[:HANGING]:
            backend.send_signal(signal.SIGSTOP)
            record(f"hang     {backend.address} for {HANG_S} s")
            resume = threading.Timer(HANG_S, backend.send_signal, [signal.SIGCONT])
            resume.daemon = True
            resume.start()
    threads = [threading.Thread(target=client, args=(i,)) for i in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    record(f"taken {len(taken)}, answers by status {statuses}, lost {lost}")
    if not taken:
        raise CannotRun("no client could write its last byte")
    return not lost


run_case(HERE, case)
