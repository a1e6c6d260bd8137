"""Slow uploads hold every client connection of the proxy, and other clients get no answer."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from harness2 import BATCH, LOG, Proxy, answers_after, free_port, main, now, read_message, request, trouble

# Sockets, slow uploads, other requests, and whether the platform holds the listening socket. Memory is 32 MB.
DEPLOYMENTS = [(256, 64, 12, True), (1024, 170, 30, False)]
BODY = 320_000
PIECE = 6_400  # every 0.1 s: 64 kB a second
LEFT_MS = 1_000
# The answer is due within the client's time, and is lost half a second later; 50 ms of slack on sockets.
LOST_AFTER_S = LEFT_MS / 1000 + 0.5 + 0.05


async def answer(world, rid, reader, writer, last_byte_at):
    """Waits for the answer as long as it may take. Returns the breach, if there is one."""
    try:
        message = await asyncio.wait_for(read_message(reader), LOST_AFTER_S)
    except asyncio.TimeoutError:
        world.record(f"client {rid}: no answer {now() - last_byte_at:.3f} s after its last byte, leaves")
        return f"{rid} has no answer {LOST_AFTER_S:.2f} s after its last byte"
    finally:
        writer.close()
    # A connection that is closed unread is no breach here: the client would send the request once more.
    world.record(f"client {rid}: {message.status if message else 'closed'} after {now() - last_byte_at:.3f} s")
    return None


async def upload(world, rid, delay):
    await asyncio.sleep(delay)
    reader, writer = await world.connect()
    world.record(f"client {rid}: sends {BODY} bytes, {'64 kB a second' if trouble() else 'at once'}")
    writer.write(request(BATCH, rid, LEFT_MS, b"", BODY))
    for _ in range(BODY // PIECE):
        if trouble():
            await asyncio.sleep(0.1)
        writer.write(b"u" * PIECE)
        await writer.drain()
    return await answer(world, rid, reader, writer, now())


async def other(world, rid):
    reader, writer = await world.connect()
    world.record(f"client {rid}: sends a whole request, X-Time-Left-Ms {LEFT_MS}")
    writer.write(request(LOG, rid, LEFT_MS, b"calibration"))
    await writer.drain()
    return await answer(world, rid, reader, writer, now())


async def case(world):
    _, discovery = await world.backends(5, answers_after(0.05))
    breaches = []
    for sockets, uploads, others, with_descriptor in DEPLOYMENTS:
        assert uploads + others <= sockets // 3
        world.record(f"deployment of {sockets} descriptors and 32 MB, clients hold {uploads + others} descriptors")
        if not with_descriptor:
            world.port = free_port()
        proxy = Proxy(world, "n1", world.config(discovery, memory_mb=32, sockets=sockets), with_descriptor)
        await proxy.start()
        slow = [asyncio.create_task(upload(world, f"upload-{sockets}-{i}", i * 0.003)) for i in range(uploads)]
        await asyncio.sleep(1.5)
        results = await asyncio.gather(*(other(world, f"log-{sockets}-{i}") for i in range(others)))
        results += await asyncio.gather(*slow)
        breaches += [breach for breach in results if breach]
        proxy.process.kill()
        await proxy.process.wait()
    return breaches


main(case, FOLDER, with_descriptor=True)
