"""A planned restart cuts off long answers that their backends still give."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from harness2 import LOG, Message, Proxy, main, now, read_head, request, trouble

PIECES = 100
PIECE = b"a" * 40_000
# The time that each answer takes, in seconds after SIGTERM.
ENDS_S = [2.0, 3.0, 3.6, 5.0]
SIGTERM_AT_S = 0.5
# SIGKILL comes no earlier than the longest deadline (3 s) plus 0.7 s after SIGTERM.
SIGKILL_AFTER_S = 8.0


async def case(world):
    async def long_answer(message, writer):
        """Answers with 4 MB: the head and the first bytes at once, the rest evenly."""
        begun = now()
        length = SIGTERM_AT_S + ENDS_S[int(message.id.split("-")[1])]
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {PIECES * len(PIECE)}\r\n\r\n".encode())
        for i in range(PIECES):
            writer.write(PIECE)
            await writer.drain()
            await asyncio.sleep(max(0, begun + length * (i + 1) / PIECES - now()))
        world.record(f"backend has given all of the answer to {message.id}")

    _, discovery = await world.backends(5, long_answer)
    proxy = Proxy(world, "n1", world.config(discovery))
    await proxy.start()
    began = now()

    async def client(i):
        rid = f"log-{i}"
        reader, writer = await world.connect()
        writer.write(request(LOG, rid, 3000, b"calibration"))
        head = await read_head(reader)
        if head is None or Message(head[:-4], b"").status != 200:
            world.record(f"client {rid}: {head!r}")
            return None
        world.record(f"client {rid}: 200, the answer begins after {now() - began:.3f} s")
        got = 0
        try:
            while got < PIECES * len(PIECE) and (data := await reader.read(65536)):
                got += len(data)
        except ConnectionError as error:
            world.record(f"client {rid}: {error!r}")
        writer.close()
        world.record(f"client {rid}: {got} of {PIECES * len(PIECE)} bytes after {now() - began:.3f} s")
        # Only what the platform has killed is excused, and the platform has not killed the proxy yet.
        return None if got == PIECES * len(PIECE) else f"the answer to {rid} was cut off after {got} bytes"

    async def platform():
        await asyncio.sleep(SIGTERM_AT_S)
        if not trouble():
            return
        proxy.signal(signal.SIGTERM)
        term = now()
        try:
            code = await asyncio.wait_for(proxy.process.wait(), SIGKILL_AFTER_S)
            world.record(f"the proxy ends by itself {now() - term:.3f} s after SIGTERM with exit code {code}")
        except asyncio.TimeoutError:
            proxy.signal(signal.SIGKILL)

    results = await asyncio.gather(*(client(i) for i in range(len(ENDS_S))), platform())
    return [breach for breach in results if breach]


main(case, FOLDER)
