"""Peers that send much at once and go drive the proxy over its memory limit, and the platform kills it."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from harness2 import BATCH, Proxy, main, now, read_message, request, response, trouble

MEMORY_MB, SOCKETS = 32, 256
CLIENTS = 85
assert CLIENTS <= SOCKETS // 3
BODY = 65_536
ANSWER = 60_000
WORK_S = 0.15
PEERS = 150
PEER_BODY = 1_000_000
PEER_SENDS = 900_000
PEER_STAYS_S = 0.15
WARM_S, LENGTH_S = 3.0, 30.0


async def case(world):
    async def answer(message, writer):
        await asyncio.sleep(WORK_S)
        writer.write(response("200 OK", b"a" * ANSWER))

    backends, discovery = await world.backends(10, answer)
    for backend in backends:
        backend.record = lambda text: None  # thousands of requests
    proxy = Proxy(world, "n1", world.config(discovery, memory_mb=MEMORY_MB, sockets=SOCKETS))
    await proxy.start()
    began = now()
    answers = {}
    peers_sent = [0]
    peak_kib = [0]

    def running():
        return proxy.process.returncode is None and now() - began < LENGTH_S

    async def platform():
        """Kills the proxy over its limit, as DEPLOY says. Counts anonymous memory alone, the least that counts."""
        next_line = 0.0
        while running():
            with open(f"/proc/{proxy.process.pid}/status", encoding="ascii") as file:
                used = next((int(line.split()[1]) for line in file if line.startswith("RssAnon:")), 0)
            peak_kib[0] = max(peak_kib[0], used)
            if now() >= next_line:
                world.record(f"memory {used} KiB, limit {MEMORY_MB * 1024}; answers {answers}, peers {peers_sent[0]}")
                next_line = now() + 1
            if used > MEMORY_MB * 1024:
                world.record(f"the platform kills the proxy: memory {used} KiB, limit {MEMORY_MB * 1024}")
                proxy.process.kill()
                await proxy.process.wait()
                return [f"the proxy was killed for memory: {used} KiB of {MEMORY_MB * 1024}"]
            await asyncio.sleep(0.005)
        if proxy.process.returncode is not None:
            return [f"the proxy ended with {proxy.process.returncode}"]
        return []

    async def client(i):
        connection, count = None, 0
        while running():
            count += 1
            try:
                reader, writer = connection = connection or await world.connect()
                writer.write(request(BATCH, f"batch-{i}-{count}", 1000, b"b" * BODY))
                message = await asyncio.wait_for(read_message(reader), 6)
            except (OSError, asyncio.TimeoutError):
                message = None
            status = message.status if message else "closed"
            answers[status] = answers.get(status, 0) + 1
            if message is None:
                connection = None
            await asyncio.sleep(0.02)

    async def peer(i, wave):
        """Sends most of a request at once and goes."""
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", world.port)
            writer.write(request(BATCH, f"peer-{i}-{wave}", 1000, b"p" * PEER_SENDS, PEER_BODY))
            peers_sent[0] += 1
            await asyncio.sleep(PEER_STAYS_S)
            writer.transport.abort()
        except OSError:
            pass

    async def bursts():
        await asyncio.sleep(WARM_S)
        wave = 0
        while running():
            wave += 1
            await asyncio.gather(*(peer(i, wave) for i in range(PEERS)))

    tasks = [platform(), *(client(i) for i in range(CLIENTS))]
    if trouble():
        tasks.append(bursts())
    results = await asyncio.gather(*tasks)
    world.record(f"most memory {peak_kib[0]} KiB; answers to clients {answers}; peers that sent and went {peers_sent[0]}")
    return results[0]


main(case, FOLDER)
