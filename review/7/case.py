"""Requests that wait for an instance while its service leaves the configuration and it drains."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import kit_2 as kit  # noqa: E402

DRAIN_MS = 2000
REQUESTS = 45
WORK_S = 0.9
SERVES_S = 8.0


async def play(record, scratch, nodes):
    store = kit.Store()
    await store.open()
    route = ("r-announce", "unsafe", "/pufi791/")
    store.operate("config", kit.config(7, [(*route, "huvo11a")], ["huvo11a", "wuno96b"]))
    for number, service in enumerate(["huvo11a", "huvo11a", "wuno96b"], 1):
        nodes.append(kit.Node(f"sidecar-a-{number}", "be-vl-gent", service, store, scratch, record))
    for node in nodes:
        await node.start()
    for node in nodes:
        await node.wait_ready()
    front, back, other = nodes
    leaves = kit.Instance("i-7f3a91c2", "huvo11a", "be-vl-gent", back, record, slots=7, work=WORK_S)
    takes_over = kit.Instance("i-02d9e6b4", "wuno96b", "be-vl-gent", other, record, slots=7,
                              work=WORK_S)
    for instance in (leaves, takes_over):
        await instance.open()
        instance.beat_on()
    await asyncio.sleep(5)

    async def submit(number):
        request = f"announce-{number}"
        status, _, _ = await kit.send(front, request, "POST", f"/pufi791/{number}", b"{}")
        record(f"client: request {request} -> {status}")
        return status

    clients = [asyncio.ensure_future(submit(number)) for number in range(REQUESTS)]
    await asyncio.sleep(0.3)
    if kit.TROUBLE:
        # The route moves to the other service, and the old one leaves the configuration.
        store.operate("config", kit.config(8, [(*route, "wuno96b")], ["wuno96b"]))
        record("operator: configuration 8 acknowledged: the route goes to wuno96b, huvo11a is gone")
    await asyncio.sleep(0.7)
    leaves.stop_beats()
    leaves.state = "draining"
    if not await leaves.send_beat(leaves.beat_body()):
        raise kit.CannotRun("the daemon did not acknowledge that the instance drains")
    leaves.beat_on()
    statuses = await asyncio.gather(*clients)
    late = [run for run in leaves.runs if run["at"] > leaves.acked_leaving + DRAIN_MS / 1000]
    for run in late:
        record(f"DRAIN: request {run['request']} reached {leaves.name} "
               f"{(run['at'] - leaves.acked_leaving) * 1000:.0f} ms after the acknowledgement; "
               f"drainMs is {DRAIN_MS}")
    record(f"{len(late)} of {len(leaves.runs)} runs too late; answers: "
           f"{ {status: statuses.count(status) for status in set(statuses)} }")
    return 1 if late else 0


kit.run(FOLDER, play)
