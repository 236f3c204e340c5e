"""LOST: a daemon that has answered its last request leaves, and cuts off what it accepts meanwhile.

Two of the three daemons of a zone are stopped with SIGTERM, three times. Each of these machines has
eight clients with a kept connection each, which take turns: the machine gets one request a second, before
the stop and after it.
"""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from deployment import BOUNDS, CannotRun, Client, Deployment, Instance, ReadyWatch, cluster, main, route, runs_of

ZONES = ["za", "za", "za", "zb", "zb"]
KEY = "k3fexd9dnn2ctnfzs989a"
HOST = "desk.example"
WORK_S = 0.4
ROUNDS = 3
CLIENTS = 8
TURNS = 5
# The time after the SIGTERM at which the first request of a machine comes; the next ones follow each second.
PHASE_S = 0.4
GRACE_S = BOUNDS["graceS"]
CONFIG = {
    "tenants": [{"name": "crew", "apiKeys": [KEY], "priority": 1}],
    "listeners": [{"host": HOST, "rules": [route("filing", "unsafe", "/filing/", "desk")]}],
    "clusters": [cluster("desk")],
}


def play(trouble):
    folder = os.path.dirname(os.path.abspath(__file__))
    with Deployment(os.path.join(folder, "record.txt"), ZONES, lambda _: "desk") as deployment:
        return run(deployment, trouble)


def run(deployment, trouble):
    record, machines = deployment.record, deployment.machines
    for machine in machines:
        machine.start(bootstrap=True)
    instances = [Instance(record, machine, "desk", WORK_S) for machine in machines]
    deployment.configure(CONFIG)
    for machine in machines:
        machine.wait_ready()
    for instance in instances:
        instance.beat_forever()
    platform = ReadyWatch(deployment)
    time.sleep(4.0)
    lost = []
    for _ in range(ROUNDS):
        lost += stop_two(deployment, platform, instances, trouble)
        time.sleep(4.0)
    record.line("result", lost=len(lost))
    for line in lost:
        record.line("lost", **line)
        print("lost:", line)
    return bool(lost)


def stop_two(deployment, platform, instances, trouble):
    """Stops two daemons of the zone, starts them again, and returns the requests that were lost."""
    record = deployment.record
    stopped = deployment.machines[:2]
    clients = {machine: [Client(record, machine, HOST, KEY) for _ in range(CLIENTS)] for machine in stopped}
    for client in clients[stopped[0]] + clients[stopped[1]]:
        if client.request("POST", "/filing/before", b"filing")[1] != 200:
            raise CannotRun("a filing before the stop was not served")
    if trouble:
        for machine in stopped:
            machine.signal(signal.SIGTERM)
    start = time.monotonic()
    term_at = record.now()
    outcomes = []
    threads = [
        threading.Thread(target=send_each_second, args=(clients[machine], platform, start, outcomes)) for machine in stopped
    ]
    for thread in threads:
        thread.start()
    if trouble:
        for machine in stopped:
            machine.process.wait(timeout=GRACE_S + 2)
            record.line("ended", machine=machine.node, code=machine.process.returncode, after=f"{record.now() - term_at:.3f}")
        for machine in stopped:
            machine.start()
    for thread in threads:
        thread.join()
    for machine in stopped:
        machine.wait_ready()
    return [line for line in (judge(outcome, instances, term_at) for outcome in outcomes) if line]


def send_each_second(clients, platform, start, outcomes):
    """One request a second, each on the kept connection of the next client."""
    for turn, client in enumerate(clients[:TURNS]):
        time.sleep(max(0.0, start + PHASE_S + turn - time.monotonic()))
        if not platform.may_send(client.machine):
            platform.deployment.record.line("no-new-work", machine=client.machine.node)
            continue
        outcomes.append((client.machine.node, client.request("POST", f"/filing/{turn}", b"filing")))
    for client in clients:
        client.close()


def judge(outcome, instances, term_at):
    """What is lost: passed on to an instance, no complete answer, and no excuse of the rule."""
    node, (name, status, _, _, sent, ended) = outcome
    runs = runs_of(instances).get(name, [])
    since_term = sent - term_at
    if status is not None or not runs or since_term > GRACE_S + 1:
        return None
    # The excuse for work in the last sixth of graceS: the connection ended long before it.
    if ended - term_at >= GRACE_S * 5 / 6:
        return None
    return {"id": name, "machine": node, "sent_after_term": f"{since_term:.3f}", "cut_after": f"{ended - sent:.3f}", "runs": len(runs)}


main(play)
