"""DRAIN: a daemon that was killed forgets that an instance has left, and takes a late heartbeat for a new one.

The instance of sidecar-za-1 leaves by DELETE, which is acknowledged. The daemon is killed and starts again. A
heartbeat that the instance had sent before it left then arrives, 1.5 s late.
"""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from deployment import BOUNDS, CannotRun, Client, Deployment, Instance, cluster, main, route

ZONES = ["za", "za", "za"]
KEY = "k3fexd9dnn2ctnfzs989a"
HOST = "desk.example"
WORK_S = 0.2
LATE_S = 1.5
# "It continues serving for `drainMs` after the acknowledgement and a little longer (at times many seconds)."
STAYS_S = 8.0
DRAIN_S = BOUNDS["drainMs"] / 1000
TOUCH_S = BOUNDS["stableWindowMs"] / 1000
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
    time.sleep(4.0)
    stopped = threading.Event()
    outcomes = []
    # The clients of the two machines that nothing happens to.
    clients = [Client(record, machine, HOST, KEY) for machine in machines[1:] for _ in range(2)]
    threads = [threading.Thread(target=send_forever, args=(client, stopped, outcomes)) for client in clients]
    for thread in threads:
        thread.start()
    time.sleep(2.0)
    machine, leaving = machines[0], instances[0]
    leaving.beating = False
    late = leaving.beat_body()
    sent_at = record.now()
    time.sleep(0.1)
    if leaving.leave() != 200:
        raise CannotRun("the leave was not acknowledged")
    acked_at = record.now()
    started_at = 0.0
    if trouble:
        time.sleep(0.2)
        machine.signal(signal.SIGKILL)
        machine.process.wait()
        time.sleep(0.5)
        machine.start()
        started_at = record.now()
        machine.wait_ready()
    time.sleep(max(0.0, sent_at + LATE_S - record.now()))
    record.line("late-beat", instance=leaving.id, sent=f"{sent_at:.3f}", status=leaving.put(late))
    time.sleep(max(0.0, acked_at + STAYS_S - record.now()))
    leaving.end()
    time.sleep(2.0)
    stopped.set()
    for thread in threads:
        thread.join()
    # Runs that machines in touch sent on, later than the rule allows.
    binds_from = max(acked_at + DRAIN_S, started_at + TOUCH_S if trouble else 0.0)
    late_runs = [run for run in leaving.runs if run["at"] > binds_from]
    answers = {outcome[0]: outcome[1] for outcome in outcomes}
    lost = [run for run in late_runs if answers.get(run["id"]) != 200]
    record.line("result", acked=f"{acked_at:.3f}", binds_from=f"{binds_from:.3f}", late_runs=len(late_runs), lost=len(lost))
    for run in late_runs:
        late_by = run["at"] - acked_at - DRAIN_S
        record.line("late-run", id=run["id"], at=f"{run['at']:.3f}", later_than_allowed=f"{late_by:.3f}", answer=answers.get(run["id"]))
    print(f"{len(late_runs)} requests reached the instance after it had left, {len(lost)} of them got no answer of it")
    return bool(late_runs)


def send_forever(client, stopped, outcomes):
    while not stopped.is_set():
        outcomes.append(client.request("POST", "/filing/a", b"filing"))
        stopped.wait(0.1)
    client.close()


main(play)
