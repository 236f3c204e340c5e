"""An instance that has left comes back into use when its daemon is restarted and two of its earlier
heartbeats arrive late."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import kit_2 as kit  # noqa: E402

DRAIN_MS = 2000
WINDOW_MS = 3000
LATE_S = 4.5
SERVES_S = 10.0


async def play(record, scratch, nodes):
    store = kit.Store()
    await store.open()
    store.operate("config", kit.config(
        7, [("r-filing", "unsafe", "/pufi791/", "huvo11a")], ["huvo11a"]))
    front, back, third = (kit.Node(f"sidecar-a-{n}", "be-vl-gent", "huvo11a", store, scratch, record)
                          for n in (1, 2, 3))
    nodes += [front, back, third]
    for node in nodes:
        await node.start()
    for node in nodes:
        await node.wait_ready()
    stays = kit.Instance("i-02d9e6b4", "huvo11a", "be-vl-gent", third, record, work=0.1)
    leaves = kit.Instance("i-7f3a91c2", "huvo11a", "be-vl-gent", back, record, work=0.1)
    for instance in (stays, leaves):
        await instance.open()
        instance.beat_on()
    await asyncio.sleep(5)

    done = asyncio.Event()
    answers = []

    async def filing(number):
        status, _, _ = await kit.send(front, f"filing-{number}", "POST", f"/pufi791/{number}", b"{}")
        answers.append(status)

    async def traffic():
        tasks, number = [], 0
        while not done.is_set():
            number += 1
            tasks.append(asyncio.ensure_future(filing(number)))
            await asyncio.sleep(0.1)
        await asyncio.gather(*tasks)

    clients = asyncio.ensure_future(traffic())
    await asyncio.sleep(1)
    # Two heartbeats are sent a beat interval apart and held up on their way.
    leaves.stop_beats()
    held = [(leaves.beat_body(), time.monotonic())]
    record(f"{leaves.name}: sends heartbeat seq {leaves.seq} ready, which arrives {LATE_S} s later")
    await asyncio.sleep(1.5)
    held.append((leaves.beat_body(), time.monotonic()))
    record(f"{leaves.name}: sends heartbeat seq {leaves.seq} ready, which arrives {LATE_S} s later")
    await asyncio.sleep(0.5)
    # It leaves by DELETE, as some instances do, and serves on.
    if not await leaves.leave():
        raise kit.CannotRun("the daemon did not acknowledge that the instance leaves")
    await asyncio.sleep(0.3)
    restarted = None
    if kit.TROUBLE:
        await back.kill()
        await asyncio.sleep(1)
        await back.start()
        restarted = back.started_at
    for body, sent in held:
        await asyncio.sleep(max(0.0, sent + LATE_S - time.monotonic()))
        await leaves.send_beat(body)
    await asyncio.sleep(max(0.0, leaves.acked_leaving + SERVES_S - time.monotonic()))
    done.set()
    await clients

    # All machines are in touch but the restarted one, and that one stableWindowMs after its start.
    in_touch = max(restarted + WINDOW_MS / 1000 + 0.2 if restarted else 0.0,
                   leaves.acked_leaving + DRAIN_MS / 1000)
    late = [run for run in leaves.runs if run["at"] > in_touch]
    for run in late:
        record(f"DRAIN: request {run['request']} reached {leaves.name} "
               f"{(run['at'] - leaves.acked_leaving) * 1000:.0f} ms after the acknowledgement; "
               f"drainMs is {DRAIN_MS}")
    record(f"{len(late)} requests too late; answers: "
           f"{ {status: answers.count(status) for status in set(answers)} }")
    if not leaves.runs or not stays.runs:
        raise kit.CannotRun("an instance got no request at all")
    return 1 if late else 0


kit.run(FOLDER, play)
