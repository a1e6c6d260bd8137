"""Clients send long requests and leave; the proxy doesn't notice, and its backends run the requests afterwards."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from harness2 import LOG, Proxy, answers_after, main, now, read_message, request, trouble

ROUNDS = 6
SHORT, LONG = 4, 6
BODY = 2_200_000
WORK_S = 0.24
LEAVE_AFTER_S = 0.005
# An attempt that begins more than 0.1 s after the close is a break; 50 ms of slack on sockets.
LIMIT_S = 0.1 + 0.05


async def case(world):
    begun = []

    def on_head(message):
        """The backend sees the first bytes of an attempt."""
        if message.id.startswith("log-"):
            begun.append((message.id, now()))
            world.record(f"a backend gets the head of {message.id}")

    _, discovery = await world.backends(3, answers_after(WORK_S), on_head)
    await Proxy(world, "n1", world.config(discovery)).start()
    closed_at = {}

    async def short(rid):
        """A client with a short request, which occupies a backend and gets its answer."""
        reader, writer = await world.connect()
        writer.write(request(LOG, rid, 3000, b"calibration"))
        message = await asyncio.wait_for(read_message(reader), 5)
        world.record(f"client {rid}: {message.status if message else 'closed'}")
        writer.close()

    async def long(rid):
        reader, writer = await world.connect()
        writer.write(request(LOG, rid, 3000, body))
        await writer.drain()
        while writer.transport.get_write_buffer_size():
            await asyncio.sleep(0.002)
        world.record(f"client {rid}: has written its last byte")
        if trouble():
            await asyncio.sleep(LEAVE_AFTER_S)
            writer.close()
            closed_at[rid] = now()
            world.record(f"client {rid}: leaves")
        else:
            message = await asyncio.wait_for(read_message(reader), 5)
            world.record(f"client {rid}: {message.status if message else 'closed'}")
            writer.close()

    body = b"c" * BODY
    for turn in range(ROUNDS):
        shorts = [asyncio.create_task(short(f"short-{turn}-{i}")) for i in range(SHORT)]
        await asyncio.sleep(0.01)
        await asyncio.gather(*(long(f"log-{turn}-{i}") for i in range(LONG)), *shorts)
        await asyncio.sleep(0.8)
    return [f"an attempt of {rid} began {at - closed_at[rid]:.3f} s after its client had left"
            for rid, at in begun if rid in closed_at and at - closed_at[rid] > LIMIT_S]


main(case, FOLDER)
