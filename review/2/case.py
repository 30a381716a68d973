"""Bytes without end in the body of a runner's answer; see claim.txt."""

import asyncio
import os
import random
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(HERE, "../common"))
from deployment import KEY, MODEL, ORDERS, config, service, usual_routes  # noqa: E402
from standins import Connection, Runner, run  # noqa: E402

LENGTH_S = 80
BAD_RUNNERS = 2
# One in this many answers of a runner in trouble: the share of spoilt answers on the page.
SPOILT_ONE_IN = 50
# A machine's link carries 1,000 Mbit/s; a runner in trouble sends at less than that.
BYTES_PER_S = 110e6
CLIENTS_OF_MACHINE = 18
PAUSE_S = 0.35
# Inside the objectives of the classes (500 to 800 ms).
FIRST_EVENT_S = 0.4
# LOST: "more than three times".
LOST_ALLOWED = 3


async def send_without_end(world, runner, request, writer):
    """The head of a stream and its first event, then a chunk header that never ends."""
    head = {**runner.headers(request), "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked"}
    event = b"id: 1\ndata: a\n\n"
    writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in head.items())
                  + "\r\n").encode() + f"{len(event):x}\r\n".encode() + event + b"\r\n1;a=")
    piece = b"z" * (256 * 1024)
    started, sent = time.monotonic(), 0
    try:
        while True:  # until the caller closes
            writer.write(piece)
            await writer.drain()
            sent += len(piece)
            ahead = sent / BYTES_PER_S - (time.monotonic() - started)
            await asyncio.sleep(max(0.0, ahead))
    finally:
        world.record("endless", runner=runner.id, attempt=request.get("geraniumspread-attempt-id"),
                     bytes=sent, seconds=round(time.monotonic() - started, 2))


async def story(world):
    answers = {}

    async def model_work(runner, request, writer):
        answers[runner.id] = answers.get(runner.id, 0) + 1
        is_bad = runner in bad and world.trouble
        if is_bad and answers[runner.id] % SPOILT_ONE_IN == 0:
            await send_without_end(world, runner, request, writer)
        return await runner.stream_answer(request, writer, first_s=FIRST_EVENT_S)

    models = [Runner(world, MODEL, number, work=model_work) for number in range(4)]
    bad = models[:BAD_RUNNERS]
    orders = [Runner(world, ORDERS, number, slots=6) for number in range(3)]
    await world.start(config(7, usual_routes(), [service(MODEL, True), service(ORDERS)]),
                      models + orders)
    end = time.monotonic() + LENGTH_S
    lost = []

    async def platform(machine):
        """Kills a process over its memory limit and starts ended processes again."""
        while True:
            limit = world.memory_mb * 1024 * 1024
            if machine.is_running() and machine.memory_bytes() > limit:
                world.record("platform", over_memory=machine.name, bytes=machine.memory_bytes())
                machine.signal(signal.SIGKILL)
                await machine.process.wait()
            if not machine.is_running():
                machine.ends.append(machine.process.returncode)
                world.record("platform", ended=machine.name, code=machine.process.returncode)
                await asyncio.sleep(0.5)
                await machine.start()
            await asyncio.sleep(0.01)

    async def client(machine, number):
        """Sends one request after the other on a kept connection."""
        kept = Connection(machine.address, world.addresses.front)
        while time.monotonic() < end:
            path = ["/digest/1", "/draft/1", "/order/1", "/lookup/1"][number % 4]
            number += 1
            is_stream = path.startswith(("/digest", "/draft"))
            subject = random.randrange(1, 200)
            headers = {"Geraniumspread-Model": "m", "Geraniumspread-Token-Counts": "1460,80",
                       "Geraniumspread-Prompt-Prefix":
                           f"5c1e07a2:800,{subject:x}91bd:410,{number:x}7d:250"} if is_stream else {}
            method = "GET" if path.startswith("/lookup") else "POST"
            answer = await world.request(machine, method, path, KEY, 3000 if is_stream else 1000,
                                         headers, b"" if method == "GET" else b"x" * 600, kept)
            # Not even the head of an answer has come, and the client hasn't left.
            if answer.status == 0 and answer.failure != "timeout" and answer.kept:
                at = [runner for _, runner, attempt in world.runs if attempt == answer.attempt]
                if at and at[-1] not in bad:
                    lost.append(answer)
                    world.record("lost", attempt=answer.attempt, machine=machine.name,
                                 path=path, runner=at[-1].id)
            await asyncio.sleep(PAUSE_S)
        kept.close()

    platforms = [asyncio.create_task(platform(machine)) for machine in world.machines]
    await asyncio.gather(*[client(machine, number) for machine in world.machines
                           for number in range(CLIENTS_OF_MACHINE)])
    for task in platforms:
        task.cancel()
    await asyncio.gather(*platforms, return_exceptions=True)
    ends = {machine.name: len(machine.ends) for machine in world.machines}
    return len(lost) > LOST_ALLOWED, (
        f"requests on kept connections that were passed to a sound runner and got no answer: "
        f"{len(lost)}; processes over their memory limit: {ends}")


sys.exit(run(os.path.join(HERE, "record.txt"), story))
