"""BUDGET: a request that crashes the runners goes on reaching them through an edge that relays it.

Three edges in three zones, nine runners. The edge of one zone is partitioned from all runners for
9 s. A caller of that zone sends a request again and again that crashes each runner that runs it.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import standins  # noqa: E402
from standins import now  # noqa: E402

ZONES = ["zone-a", "zone-b", "zone-c"]
RUNNERS = 9
SOUND_PER_S = 45
CUT = (2.0, 11.0)
# The crashing request comes this often, in this time.
CRASHING = (3.0, 11.0)
CRASHING_GAP = 0.5
BACK_AFTER = 2.0
STABLE_WINDOW = 3.0
END = 12.0


async def main(record, trouble):
    fleet = standins.Fleet(ZONES)
    crashes = []
    arrivals = []

    async def handle(runner, request, writer):
        if request.body == b"crashing":
            arrivals.append(now())
            crashes.append(now())
            record("run-crashing", request.id, "at", runner.id, "crash", len(crashes))
            runner.crash()
            asyncio.get_running_loop().call_later(
                BACK_AFTER, lambda: asyncio.ensure_future(runner.start()))
            return
        record("run", request.id, "at", runner.id)
        await asyncio.sleep(0.02)
        await runner.answer(request, writer, b"done " + request.id.encode())

    runners = [standins.Runner(fleet.store, record, f"app-{place}", "app",
                               fleet.runner_address(place), fleet.ports["runner"],
                               ZONES[place % 3], handle, slots=24)
               for place in range(RUNNERS)]
    served = {edge.name: [0, 0] for edge in fleet.edges}

    async def caller(request_id, edge, body):
        record("sent", request_id, "to", edge.name)
        answer = await standins.call(edge, request_id, "POST", "/orders/x", "h.example",
                                     ["Geraniumspread-Deadline-Ms: 1500"], body, timeout=3)
        record("answered", request_id, "by", edge.name, answer.status)
        if body != b"crashing":
            served[edge.name][0] += answer.status == 200
            served[edge.name][1] += 1

    def cut():
        standins.Server.cut_edges = [fleet.edges[0]]
        for runner in runners:
            runner.reset_cut()

    def heal():
        standins.Server.cut_edges = []

    try:
        fleet.store.put("op/config", standins.config(
            1, [{"name": "orders", "host": "h.example", "pathPrefix": "/orders/", "kind": "unsafe",
                 "service": "app", "maxAttempts": 1, "timeoutMs": 1500, "goalMs": 200}],
            [{"name": "app", "healthPath": "/healthz"}]))
        for runner in runners:
            await runner.start()
        await asyncio.sleep(0.3)
        await fleet.start()
        await asyncio.sleep(4)
        base = now()
        events = []
        if trouble:
            events += [(CUT[0], cut, f"cut {fleet.edges[0].name}"), (CUT[1], heal, "healed")]
        tasks = []
        crashing = 0
        number = 0
        while now() - base < END:
            while events and now() - base >= events[0][0]:
                _, action, name = events.pop(0)
                record(name)
                action()
            if now() - base >= CRASHING[0] + crashing * CRASHING_GAP and now() - base < CRASHING[1]:
                tasks.append(asyncio.ensure_future(
                    caller(f"c{crashing:03d}", fleet.edges[0], b"crashing")))
                crashing += 1
            tasks.append(asyncio.ensure_future(
                caller(f"q{number:05d}", fleet.edges[number % 3], b"sound %d" % number)))
            number += 1
            await asyncio.sleep(max(0, base + number / SOUND_PER_S - now()))
        await asyncio.gather(*tasks)
        late = [at for at in arrivals if len(crashes) >= 3 and at > crashes[2] + STABLE_WINDOW]
        record("crashing-sent", crashing, "crashes", len(crashes), "late-arrivals", len(late),
               "served", served)
        print("crashing requests sent:", crashing, "crashes:", len(crashes),
              "arrivals later than 3 s after the third crash:", len(late), "sound served:", served)
        return len(late) > 3
    finally:
        for runner in runners:
            runner.crash()
        fleet.end()


sys.exit(standins.run(main, os.path.dirname(os.path.abspath(__file__))))
