"""Clients send long requests and leave; the proxy doesn't notice, and its backends run the requests afterwards."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from harness2 import LOG, Proxy, answers_after, main, now, read_message, request, trouble

CLIENTS = 12
BODY = 2_400_000
WORK_S = 0.25
LEAVE_AFTER_S = 0.02
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

    async def client(i):
        rid = f"log-{i}"
        reader, writer = await world.connect()
        writer.write(request(LOG, rid, 3000, b"c" * BODY))
        await writer.drain()
        while writer.transport.get_write_buffer_size():
            await asyncio.sleep(0.005)
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

    await asyncio.gather(*(client(i) for i in range(CLIENTS)))
    await asyncio.sleep(3)
    return [f"an attempt of {rid} began {at - closed_at[rid]:.3f} s after its client had left"
            for rid, at in begun if rid in closed_at and at - closed_at[rid] > LIMIT_S]


main(case, FOLDER)
