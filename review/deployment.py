"""A small deployment on loopback: the platform's store, instances, clients and the daemons.

Everything but the daemons lives in the process of the script. The daemons are the project's own
program, started with the command and the template of deploy/system.toml.
"""

import base64
import http.server
import json
import os
import random
import re
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
BOUNDS = {
    "seedLagS": 3, "reuseDelayS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configMs": 2000, "backMs": 250,
    "skewMaxMs": 5000, "strictRevoke": True, "revokeMs": 5000, "budgetRatio": 0.2,
    "budgetWindowS": 10, "budgetExtra": 58, "quotaWindowS": 5, "quotaExcess": 0.1,
    "quotaSlack": 20, "recoveryS": 15, "probesPerS": 3, "floorShare": 0.7,
}


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, kind, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self.lock:
            self.file.write(f"{self.now():8.3f} {kind} {text}\n")
            self.file.flush()


# --- the platform's store ---------------------------------------------------------------------


class Store:
    """Rows of the platform's store: transactions, reads and the feed of changes."""

    def __init__(self):
        self.rows = {}
        self.log = []
        self.version = 0
        self.changed = threading.Condition()
        self.origin = time.monotonic() - 50.0

    def answer(self, **fields):
        now_ms = int((time.monotonic() - self.origin) * 1000)
        return {**fields, "ver": self.version, "nowMs": now_ms}

    def put(self, table, key, value):
        """A write of the operator."""
        with self.changed:
            self.version += 1
            self._write((table, "", key), base64.b64encode(value).decode())
            self.changed.notify_all()

    def _write(self, name, value):
        row = {"table": name[0], "part": name[1], "key": name[2], "ver": self.version}
        if value is None:
            self.rows.pop(name, None)
            row["deleted"] = True
        else:
            row["value"] = value
            self.rows[name] = row
        self.log.append(row)

    def transact(self, body):
        with self.changed:
            checked = []
            for check in body.get("precondition", []):
                name = (check["table"], check.get("part", ""), check["key"])
                row = self.rows.get(name)
                if (row["ver"] if row else 0) != check["ver"]:
                    checked.append(row)
            if checked:
                return 412, self.answer(rows=[row for row in checked if row])
            self.version += 1
            for put in body.get("puts", []):
                self._write((put["table"], put.get("part", ""), put["key"]), put["value"])
            for gone in body.get("remove", []):
                self._write((gone["table"], gone.get("part", ""), gone["key"]), None)
            self.changed.notify_all()
            return 200, self.answer()

    def get(self, query):
        with self.changed:
            table, part = query["table"], query.get("part", "")
            first, end = query.get("from", ""), query.get("to")
            limit = min(int(query.get("limit", 500)), 500)
            names = sorted(
                name for name in self.rows
                if name[:2] == (table, part) and name[2] >= first and (not end or name[2] < end)
            )
            rows = [self.rows[name] for name in names[:limit]]
            return 200, self.answer(rows=rows, truncated=len(names) > limit)

    def feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + min(int(query.get("waitMs", 0)), 30000) / 1000
        with self.changed:
            while True:
                rows = [row for row in self.log if row["table"] == table and row["ver"] > after]
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, self.answer(rows=rows)
                self.changed.wait(left)


class Quiet(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def reply(self, status, body=b"", headers=()):
        self.send_response_only(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def body(self):
        if self.headers.get("Transfer-Encoding", "").lower() == "chunked":
            parts = []
            while True:
                size = int(self.rfile.readline().split(b";")[0], 16)
                parts.append(self.rfile.read(size))
                self.rfile.readline()
                if size == 0:
                    return b"".join(parts)
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def handle_error(self, *_):
        pass

    def get_request(self):
        connection, address = super().get_request()
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection, address


def serve(address, handler):
    server = Server(address, handler)
    threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()
    return server


def store_handler(store):
    from urllib.parse import parse_qsl, urlsplit

    class Handler(Quiet):
        def do_GET(self):
            url = urlsplit(self.path)
            query = dict(parse_qsl(url.query, keep_blank_values=True))
            if url.path == "/v1/rows-get":
                self.json(*store.get(query))
            elif url.path == "/v1/rows-feed":
                self.json(*store.feed(query))
            else:
                self.reply(404)

        def do_POST(self):
            body = json.loads(self.body())
            self.json(*store.transact(body))

        def json(self, status, value):
            body = json.dumps(value).encode()
            self.reply(status, body, [("Content-Type", "application/json")])

    return Handler


# --- instances ---------------------------------------------------------------------------------


class Instance:
    """A sound instance: runs what names it, echoes the id, stamps and beats."""

    def __init__(self, record, machine, service, work_s, slots=5, ident=None):
        self.record, self.machine, self.service = record, machine, service
        self.work_s, self.slots = work_s, slots
        self.id = ident or f"i-{random.randrange(16**8):08x}"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.runs = []
        self.running = 0
        self.lock = threading.Lock()
        self.ended = threading.Event()
        self.connections = set()
        self.server = serve((machine.ip, machine.ports["app"]), self.handler())
        self.address = f"{machine.ip}:{machine.ports['app']}"

    def handler(instance):
        class Handler(Quiet):
            def setup(self):
                super().setup()
                instance.connections.add(self.connection)

            def finish(self):
                instance.connections.discard(self.connection)
                try:
                    super().finish()
                except OSError:
                    pass

            def any(self):
                instance.serve(self)

            do_GET = do_POST = do_PUT = any

        return Handler

    def serve(self, call):
        body = call.body()
        name = call.headers.get("X-Wagtailtrack-Request-Id")
        expected = call.headers.get("X-Wagtailtrack-Expect-Instance")
        echo = [("X-Wagtailtrack-Request-Id", name or "")]
        if call.path == "/healthz":
            status = 200 if self.state == "ready" else 503
            return call.reply(status, b"", [("X-Wagtailtrack-Instance", self.id)])
        if not name:
            return call.reply(400, b"", [("X-Wagtailtrack-Not-Run", "1")])
        if expected and expected != self.id:
            return call.reply(421, b"", echo + [("X-Wagtailtrack-Instance", self.id)])
        with self.lock:
            if self.running >= self.slots:
                full = True
            else:
                full = False
                self.running += 1
                run = {
                    "id": name, "at": self.record.now(), "path": call.path,
                    "caller": call.headers.get("X-Wagtailtrack-Caller"),
                    "tenant": call.headers.get("X-Wagtailtrack-Tenant"),
                    "body": body, "done": False,
                }
                self.runs.append(run)
        if full:
            return call.reply(503, b"", echo + [("X-Wagtailtrack-Not-Run", "1")])
        self.record.line("run", instance=self.id, id=name, path=call.path, caller=run["caller"])
        time.sleep(self.work_s(call) if callable(self.work_s) else self.work_s)
        with self.lock:
            self.running -= 1
        if self.ended.is_set():
            return None
        run["done"] = True
        answer = f"{self.service} {name} {len(body)}\n".encode()
        stamp = [("X-Wagtailtrack-Server-Stamp", f"stamp.{self.id}.{name}")]
        try:
            call.reply(200, answer, echo + stamp)
            self.record.line("ran", instance=self.id, id=name)
        except OSError:
            self.record.line("ran", instance=self.id, id=name, answer="connection-closed")

    def beat_body(self):
        self.seq += 1
        return json.dumps({
            "service": self.service, "addr": self.address, "zone": self.machine.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "coldLeftMs": 0,
            "seq": self.seq, "born": self.born,
        }).encode()

    def put(self, body, timeout=1.0):
        """Sends one heartbeat; returns its status, or none without an answer in time."""
        path = f"/v1/instances/{self.id}"
        status = simple_call(self.machine.address("control"), "PUT", path, body, timeout)
        self.record.line("beat", instance=self.id, body=body.decode(), status=status)
        return status

    def leave(self):
        path = f"/v1/instances/{self.id}"
        status = simple_call(self.machine.address("control"), "DELETE", path, b"", 1.0)
        self.record.line("leave", instance=self.id, status=status)
        return status

    def beat_forever(self, interval=1.5):
        def run():
            while not self.ended.is_set() and self.beating:
                if self.put(self.beat_body()) == 200:
                    self.ended.wait(interval)
                else:
                    self.ended.wait(0.1)
        self.beating = True
        threading.Thread(target=run, daemon=True).start()

    def end(self):
        """The process ends: its listener and its connections close."""
        self.ended.set()
        self.server.shutdown()
        self.server.server_close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
                connection.close()
            except OSError:
                pass
        self.record.line("instance-ended", instance=self.id)


def runs_of(instances):
    """The runs by the request's id."""
    runs = {}
    for instance in instances:
        for run in instance.runs:
            runs.setdefault(run["id"], []).append((instance, run))
    return runs


def simple_call(address, method, path, body, timeout):
    head = f"{method} {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"
    if body:
        head += "Content-Type: application/json\r\n"
    head += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    try:
        with socket.create_connection(address, timeout=timeout) as connection:
            connection.settimeout(timeout)
            connection.sendall(head.encode() + body)
            answer = b""
            while b"\r\n" not in answer:
                more = connection.recv(4096)
                if not more:
                    return None
                answer += more
            return int(answer.split()[1])
    except (OSError, ValueError, IndexError):
        return None


# --- clients -----------------------------------------------------------------------------------


class Client:
    """One kept connection of a client on a machine."""

    def __init__(self, record, machine, host, key=None):
        self.record, self.machine, self.host, self.key = record, machine, host, key
        self.socket = None
        self.must_close = False

    def close(self):
        if self.socket:
            self.socket.close()
        self.socket = None

    def connect(self):
        self.socket = socket.create_connection(self.machine.address("outbound"), timeout=1.0)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.must_close = False

    def request(self, method, path, body=b"", deadline_ms=5000, name=None):
        """Sends one request and returns (id, status, headers, body, sent, ended).

        The status is none when the connection ended without a complete answer, and -1 when no
        connection came about.
        """
        name = name or f"{random.randrange(16**16):016x}"
        try:
            if self.socket is None:
                self.connect()
        except OSError as cause:
            self.record.line("refused", id=name, machine=self.machine.node, cause=cause)
            return name, -1, {}, b"", self.record.now(), self.record.now()
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.host}\r\n"
        head += f"X-Wagtailtrack-Request-Id: {name}\r\nX-Wagtailtrack-Deadline-Ms: {deadline_ms}\r\n"
        if self.key:
            head += f"Authorization: Bearer {self.key}\r\n"
        if body or method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        sent = self.record.now()
        self.record.line("send", id=name, machine=self.machine.node, request=f"{method}:{path}")
        status, headers, answer = None, {}, b""
        try:
            self.socket.settimeout(deadline_ms / 1000 + 2.0)
            self.socket.sendall(head.encode() + b"\r\n" + body)
            status, headers, answer = read_answer(self.socket)
        except OSError as cause:
            self.record.line("connection-lost", id=name, cause=type(cause).__name__)
        ended = self.record.now()
        stamp = headers.get("x-wagtailtrack-server-stamp")
        verdict = headers.get("x-wagtailtrack-verdict")
        self.record.line("answer", id=name, status=status, stamp=stamp, verdict=verdict, took=f"{ended - sent:.3f}")
        if status is None or headers.get("connection", "").lower() == "close":
            self.close()
        return name, status, headers, answer, sent, ended


def read_answer(connection):
    """Reads one answer; the status is none when the connection ends before its end."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = connection.recv(65536)
        if not more:
            return None, {}, data
        data += more
    head, rest = data.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split()[1])
    headers = {}
    for line in lines[1:]:
        name, value = line.split(":", 1)
        headers[name.strip().lower()] = value.strip()
    if "content-length" in headers:
        length = int(headers["content-length"])
        while len(rest) < length:
            more = connection.recv(65536)
            if not more:
                return None, headers, rest
            rest += more
        return status, headers, rest
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            while b"\r\n" not in rest:
                more = connection.recv(65536)
                if not more:
                    return None, headers, body
                rest += more
            size_text, rest = rest.split(b"\r\n", 1)
            size = int(size_text.split(b";")[0], 16)
            while len(rest) < size + 2:
                more = connection.recv(65536)
                if not more:
                    return None, headers, body
                rest += more
            body += rest[:size]
            rest = rest[size + 2:]
            if size == 0:
                return status, headers, body
    return status, headers, rest


# --- machines and daemons ------------------------------------------------------------------------


class Machine:
    """A machine with its addresses and the daemon on it."""

    def __init__(self, deployment, number, zone, service):
        self.deployment, self.zone, self.service = deployment, zone, service
        self.node = f"sidecar-{zone}-{number}"
        self.ip = f"127.{deployment.net[0]}.{deployment.net[1]}.{10 + number}"
        self.ports = deployment.ports
        self.process = None
        self.settings = os.path.join(deployment.folder, f"{self.node}.toml")

    def address(self, name):
        return (self.ip, self.ports[name])

    def fields(self, bootstrap):
        ports = self.ports
        return {
            "node": self.node, "role": "node", "class": "sidecar", "ip": self.ip,
            "zone": self.zone, "region": "region", "bootstrap": bootstrap,
            "service": self.service, "app": f"{self.ip}:{ports['app']}",
            "listen": {name: f"{self.ip}:{ports[name]}" for name in ("outbound", "inbound", "ready", "control")},
            "portRange": [ports["range"], ports["range"] + 15],
            "provider": {"addr": "%s:%d" % self.deployment.store_address},
            "bounds": self.deployment.bounds,
        }

    def write_settings(self, bootstrap=False):
        with open(os.path.join(ROOT, "platform", "node.toml"), encoding="utf-8") as file:
            text = render(file.read(), self.fields(bootstrap))
        with open(self.settings + ".new", "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(self.settings + ".new", self.settings)

    def start(self, bootstrap=False):
        self.write_settings(bootstrap)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["WAGTAILTRACK_SETTINGS"] = self.settings
        log = open(os.path.join(self.deployment.folder, f"{self.node}.log"), "ab")
        self.process = subprocess.Popen(
            self.deployment.command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log,
        )
        log.close()
        self.deployment.started.append(self.process)
        self.deployment.record.line("start", machine=self.node, process=self.process.pid)

    def signal(self, number):
        self.deployment.record.line("signal", machine=self.node, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def is_ready(self):
        return simple_call(self.address("ready"), "GET", "/readyz", b"", 1.0) == 200

    def wait_ready(self, seconds=10.0):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.is_ready():
                return
            time.sleep(0.05)
        raise CannotRun(f"{self.node} is not ready after {seconds} s")


def render(template, fields):
    """Fills in the sections and placeholders of a template of the deploy file."""

    def value(name):
        found = fields
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part)
        return found

    def section(match):
        return match.group(2) if value(match.group(1)) else ""

    template = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)

    def text(match):
        found = value(match.group(1))
        return str(found).lower() if isinstance(found, bool) else str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", text, template)


def deploy_command():
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        found = re.search(r'^run = "(.*)"$', file.read(), flags=re.M)
    command = found.group(1).split()
    if not os.path.exists(os.path.join(ROOT, command[0])):
        raise CannotRun(f"{command[0]} is not built")
    return command


class ReadyWatch:
    """The platform's question `GET /v1/ready` once a second, and what follows for the clients."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.misses = {machine: 0 for machine in deployment.machines}
        for machine in deployment.machines:
            threading.Thread(target=self.ask_forever, args=(machine,), daemon=True).start()

    def ask_forever(self, machine):
        while True:
            next_at = time.monotonic() + 1.0
            is_ready = machine.is_ready()
            self.misses[machine] = 0 if is_ready else self.misses[machine] + 1
            if not is_ready:
                self.deployment.record.line("not-ready", machine=machine.node, misses=self.misses[machine])
            time.sleep(max(0.0, next_at - time.monotonic()))

    def may_send(self, machine):
        """After two misses no new work comes, unless fewer than half of the zone's daemons are in."""
        zone = [other for other in self.deployment.machines if other.zone == machine.zone]
        are_in = sum(self.misses[other] < 2 for other in zone)
        return self.misses[machine] < 2 or 2 * are_in < len(zone)


class Deployment:
    """Store, machines and configuration; a context that ends everything it started."""

    def __init__(self, record_path, zones, service_of, bounds=None):
        self.record = Record(record_path)
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.folder = tempfile.mkdtemp(prefix="wagtailtrack-review-")
        self.net = (random.randrange(20, 250), random.randrange(1, 250))
        self.command = deploy_command()
        self.started = []
        self.store = Store()
        ips = [f"127.{self.net[0]}.{self.net[1]}.{last}" for last in [5] + list(range(10, 11 + len(zones) + 4))]
        self.ports = free_ports(ips)
        self.store_address = (ips[0], self.ports["outbound"])
        self.store_server = serve(self.store_address, store_handler(self.store))
        self.machines = [Machine(self, index + 1, zone, service_of(index)) for index, zone in enumerate(zones)]
        self.version = 0

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.started:
            if process.poll() is None:
                process.kill()
        for process in self.started:
            process.wait()
        if os.environ.get("KEEP"):
            print(f"logs in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def configure(self, config):
        self.version += random.randrange(1, 4)
        body = {
            "version": self.version,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 2097152, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            **config,
        }
        self.store.put("op", "config", json.dumps(body).encode())
        self.record.line("config", version=self.version)


def free_ports(ips):
    for _ in range(200):
        base = random.randrange(20000, 32000)
        ports = {"app": base, "control": base + 1, "outbound": base + 2, "inbound": base + 3, "ready": base + 4, "range": base + 10}
        wanted = [base, base + 1, base + 2, base + 3, base + 4] + list(range(base + 10, base + 26))
        sockets = []
        try:
            for ip in ips:
                for port in wanted:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        one = socket.socket(socket.AF_INET, kind)
                        sockets.append(one)
                        one.bind((ip, port))
            return ports
        except OSError:
            continue
        finally:
            for one in sockets:
                one.close()
    raise CannotRun("no free ports")


def route(name, kind, prefix, service, public=False, timeout_ms=5000, attempts=2, priority=1):
    return {
        "name": name, "kind": kind, "goalMs": 1500, "priority": priority, "public": public,
        "match": {"pathPrefix": prefix},
        "action": {"service": service, "timeoutMs": timeout_ms, "attempts": attempts},
    }


def cluster(name):
    return {"name": name, "healthPath": "/healthz", "maxConns": 330, "protocol": "h1", "tls": False}


def main(play):
    """Runs `play(trouble)`, which returns whether the rule was broken, and exits as the cases do."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    def end(*_):
        raise CannotRun("the time is over")

    signal.signal(signal.SIGTERM, end)
    try:
        code = 1 if play(trouble) else 0
        print("rule broken" if code else "rule held")
    except Exception:
        traceback.print_exc()
        code = 2
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
