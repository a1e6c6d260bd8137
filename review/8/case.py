"""A client sends many requests at once on one connection, and the later ones are answered long after their time."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from harness2 import LOG, CannotRun, Proxy, answers_after, main, now, read_message, request, trouble

REQUESTS = 16
WORK_S = 0.16
LEFT_MS = 1_000
# The answer is due within the client's time, and is lost half a second later; 50 ms of slack on sockets.
LOST_AFTER_S = LEFT_MS / 1000 + 0.5 + 0.05
# What an attempt tells its backend may exceed what is left to the client by this much, and 50 ms on sockets.
TOLD_SLACK_S = 0.15 + 0.05


async def case(world):
    backends, discovery = await world.backends(5, answers_after(WORK_S))
    await Proxy(world, "n1", world.config(discovery)).start()
    reader, writer = await world.connect()
    ids = [f"log-{i}" for i in range(REQUESTS)]
    sent_at = {}
    breaches = []

    def send(sent):
        world.record(f"client sends {len(sent)} request(s): {sent[0]} to {sent[-1]}, X-Time-Left-Ms {LEFT_MS}")
        writer.write(b"".join(request(LOG, rid, LEFT_MS, b"calibration") for rid in sent))
        sent_at.update((rid, now()) for rid in sent)

    if trouble():
        send(ids)
    for rid in ids:
        if not trouble():
            send([rid])
        message = await asyncio.wait_for(read_message(reader), 10)
        if message is None:
            raise CannotRun("the proxy closed the connection")
        waited = now() - sent_at[rid]
        world.record(f"client {rid}: {message.status} {waited:.3f} s after its last byte")
        if waited > LOST_AFTER_S:
            breaches.append(f"{rid} was answered {waited:.3f} s after its last byte, lost after {LOST_AFTER_S:.2f} s")
    writer.close()
    for message in sorted((m for backend in backends for m in backend.requests), key=lambda m: m.at):
        told = int(message.headers["x-time-left-ms"]) / 1000
        left = sent_at[message.id] + LEFT_MS / 1000 - message.at
        if told > max(left, 0) + TOLD_SLACK_S:
            breaches.append(f"the backend of {message.id} was told {told:.3f} s when {left:.3f} s were left")
    return breaches


main(case, FOLDER)
