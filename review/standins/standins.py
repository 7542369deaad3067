"""Stand-ins for the review cases: a platform agent, targets, a client, and the control of forwarder processes.

Only the standard library is used. Everything listens on loopback. Each stand-in follows the operators' pages
(PROTOCOL.md and the later pages); a case script tells a target how to answer.
"""

import json
import os
import queue
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"


class CannotRun(Exception):
    """The case could not be played, so that it says nothing."""


class Record:
    """The record of a run: what was sent, answered and run, with times in seconds since the start."""

    def __init__(self, path):
        self.started_at = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started_at

    def __call__(self, text, at=None):
        at = self.now() if at is None else at
        with self.lock:
            self.file.write(f"{at:9.4f}  {text}\n")
            self.file.flush()


def read_head(connection, data=b""):
    """Reads up to the end of a head. Returns (head, rest), or None at the end of the stream."""
    while b"\r\n\r\n" not in data:
        try:
            received = connection.recv(65536)
        except OSError:
            return None
        if not received:
            return None
        data += received
    head, rest = data.split(b"\r\n\r\n", 1)
    return head, rest


def parse_head(head):
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def read_request(connection, data=b""):
    """Reads one request. Returns (first line, headers, body, rest), or None at the end of the stream."""
    parts = read_head(connection, data)
    if parts is None:
        return None
    first_line, headers = parse_head(parts[0])
    body = parts[1]
    length = int(headers.get("content-length", "0"))
    while len(body) < length:
        try:
            received = connection.recv(65536)
        except OSError:
            return None
        if not received:
            return None
        body += received
    return first_line, headers, body[:length], body[length:]


def answer_bytes(status, headers=None, body=b""):
    lines = [f"HTTP/1.1 {status}"]
    for name, value in (headers or {}).items():
        lines.append(f"{name}: {value}")
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def is_closed(connection):
    """Returns whether the other side has closed or reset the connection."""
    try:
        return connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


class Server:
    """A listener on a free loopback port with a thread for each connection."""

    def __init__(self, port=0):
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((HOST, port))
        self.port = self.listener.getsockname()[1]
        self.address = f"{HOST}:{self.port}"
        self.closed = False
        self.connections = set()
        self.lock = threading.Lock()

    def start(self):
        self.listener.listen(512)
        threading.Thread(target=self.accept_loop, daemon=True).start()
        return self

    def accept_loop(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                if self.closed:
                    connection.close()
                    return
                self.connections.add(connection)
            threading.Thread(target=self.serve_guarded, args=(connection,), daemon=True).start()

    def serve_guarded(self, connection):
        try:
            self.serve(connection)
        except OSError:
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            try:
                connection.close()
            except OSError:
                pass

    def stop(self):
        """Closes the listener and resets all connections, as a process that dies does."""
        with self.lock:
            self.closed = True
            connections = list(self.connections)
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        for connection in connections:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Target(Server):
    """A target. `behave(target, call, connection)` answers a call; it returns False if the connection is of no
    further use. A call is a dictionary with id, key, body, number, at (arrival of the last byte)."""

    def __init__(self, name, cell, record, behave, port=0):
        super().__init__(port)
        self.name = name
        self.cell = cell
        self.record = record
        self.behave = behave
        self.calls = []
        self.probes = []
        self.wants_probe = lambda: True

    def serve(self, connection):
        rest = b""
        while True:
            request = read_request(connection, rest)
            if request is None:
                return
            first_line, headers, body, rest = request
            at = self.record.now()
            if first_line.startswith("GET "):
                self.probes.append(at)
                status = "200 OK" if self.wants_probe() else "503 Service Unavailable"
                self.record(f"target {self.name} (cell {self.cell}): probe, answered {status[:3]}", at)
                connection.sendall(answer_bytes(status))
                continue
            with self.lock:
                call = {
                    "id": headers.get("request-id"),
                    "key": headers.get("idempotency-key"),
                    "body": body,
                    "number": len(self.calls),
                    "at": at,
                    "target": self.name,
                    "first_line": first_line,
                    "headers": headers,
                }
                self.calls.append(call)
            self.record(f"target {self.name} (cell {self.cell}): call {call['number']} with message {call['id']}, key {call['key']}", at)
            if self.behave(self, call, connection) is False:
                return

    def calls_of(self, message_id):
        with self.lock:
            return [call for call in self.calls if call["id"] == message_id]


class VanishingTarget(Target):
    """A target whose machine can vanish: new connections to it do not come up until it is back. The listener's queue of
    connections is kept full meanwhile, so that the system drops the first segment of each further connection."""

    def vanish(self):
        self.listener.listen(0)
        self.fillers = []
        for _ in range(3):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            try:
                filler.connect((HOST, self.port))
            except BlockingIOError:
                pass
            self.fillers.append(filler)
        time.sleep(0.05)
        self.record(f"target {self.name}: its machine has vanished, new connections to it do not come up")

    def come_back(self):
        for filler in self.fillers:
            filler.close()
        self.start()
        self.record(f"target {self.name}: its machine is back")


def answer(status, headers=None):
    """A behaviour that answers every call at once."""

    def behave(target, call, connection):
        data = answer_bytes(status, headers)
        target.record(f"target {target.name}: call {call['number']} with message {call['id']} answered {status}")
        connection.sendall(data)
        return True

    return behave


class Agent(Server):
    """The platform's agent: discovery and the notices."""

    def __init__(self, record, members=(), revision=41, port=0):
        super().__init__(port)
        self.record = record
        self.changed = threading.Condition()
        self.revision = revision
        self.members = {member["id"]: dict(member) for member in members}
        self.history = []  # (revision, entry)
        self.notices = []  # (time, dictionary)

    def document(self, complete, entries):
        return {"revision": self.revision, "complete": complete, "members": entries}

    def list_document(self):
        with self.changed:
            return self.document(True, [dict(member) for member in self.members.values()])

    def change(self, entries):
        """Applies changes; an entry in the phase Gone leaves the list."""
        with self.changed:
            for entry in entries:
                self.revision += 1
                self.history.append((self.revision, dict(entry)))
                if entry["phase"] == "Gone":
                    self.members.pop(entry["id"], None)
                else:
                    self.members[entry["id"]] = dict(entry)
                self.record(f"discovery, revision {self.revision}: {entry['id']} at {entry['host_port']}, cell {entry['cell']}, is {entry['phase']}")
            self.changed.notify_all()

    def serve(self, connection):
        rest = b""
        while True:
            request = read_request(connection, rest)
            if request is None:
                return
            first_line, _, body, rest = request
            method, path, _ = first_line.split(" ")
            if method == "POST" and path == "/v1/outcomes":
                at = self.record.now()
                for line in body.decode().splitlines():
                    if line.strip():
                        notice = json.loads(line)
                        self.notices.append((at, notice))
                        self.record(f"platform: notice {json.dumps(notice)}", at)
                connection.sendall(answer_bytes("204 No Content"))
                continue
            if not path.startswith("/discovery/hosts"):
                connection.sendall(answer_bytes("404 Not Found"))
                continue
            query = dict(part.split("=") for part in path.partition("?")[2].split("&") if "=" in part)
            if "index" in query:
                document = self.wait_for_change(int(query["index"]), int(query.get("wait", "20000")) / 1000)
                kind = f"watch from {query['index']}"
            else:
                document = self.list_document()
                kind = "whole list"
            if is_closed(connection):
                return
            text = json.dumps(document).encode()
            connection.sendall(answer_bytes("200 OK", {"Content-Type": "application/json"}, text))
            self.record(f"discovery: {kind} answered, revision {document['revision']}, {len(document['members'])} entries")

    def wait_for_change(self, index, wait):
        deadline = time.monotonic() + wait
        with self.changed:
            while self.revision <= index:
                left = deadline - time.monotonic()
                if left <= 0:
                    break
                self.changed.wait(left)
            latest = {}
            for revision, entry in self.history:
                if revision > index:
                    latest[entry["id"]] = entry
            return self.document(False, [dict(entry) for entry in latest.values()])

    def notices_of(self, message_id):
        return [(at, notice) for at, notice in list(self.notices) if notice.get("id") == message_id]


def member(member_id, target, phase="Ready", size=20.0, locality="hall-a", flavor="partner", up_since_ms=0):
    return {"id": member_id, "host_port": target.address, "locality": locality, "flavor": flavor,
            "cell": target.cell, "phase": phase, "size": size, "up_since_ms": up_since_ms}


def profile(name="ride-record", effect="guarded", window_ms=15000, goal_ms=2500, limit_ms=12000, **more):
    entry = {"Name": name, "Effect": effect, "GoalTimeUs": goal_ms * 1000, "HardLimitUs": limit_ms * 1000,
             "LateShare": 0.5, "Points": 1.0, "Stream": False}
    if effect == "guarded":
        entry.update({"DedupWindowUs": window_ms * 1000, "Group": "all"})
    entry.update(more)
    return entry


def settings(profiles, limits=None, rules=None, **more):
    """The settings of a small deployment, with the figures of the example in WIRE and of the site files."""
    result = {
        "Accounts": [], "Azs": ["hall-a", "hall-b"], "Balancers": 1, "Callers": {"MarksRetry": False},
        "Domain": {"Fades": "halving", "PerCall": [1], "RefusedPrice": 0.03, "RoutesApart": [False], "Workers": 38, "ZoneFee": [0.0, 0.0]},
        "HostTypes": ["partner"],
        "Limits": {"Cancelling": True, "ConnIdleUs": 5000000, "ConnectTimeoutUs": 1000000, "CpuUsPerRequest": 0.0,
                   "CpuUsPerS": 500000, "MaxAttempts": 6, "MaxOpen": 334, "MaxRetryAfterUs": 2000000, "MayTell": False,
                   "Multiplex": 1, "Probing": True, "RetryAfter": True, "SecondCopies": True},
        "LoadReport": {"How": "off", "Names": []}, "Me": 0, "MembershipMode": "pushed", "OverShareWorth": 0.1,
        "Profiles": profiles, "QuantumUs": 5000,
        "Rules": {"AnswerSlackUs": 20000, "ColdFrom": 0.22, "DrainGraceUs": 1000000, "FallMultiple": 2.0,
                  "OverloadForUs": 2000000, "WarmAfterUs": 13000000},
        "ServiceType": "deliver", "Tier": 0, "Tiers": ["partner-systems"], "Weights": "nominal", "WorthBy": "request", "Zone": 0,
    }
    result["Limits"].update(limits or {})
    result["Rules"].update(rules or {})
    result.update(more)
    return result


class Forwarder:
    """One forwarder, started by `run` of deploy/balancer.toml, with a folder that lasts over its processes."""

    def __init__(self, record, folder, settings_object, name="n0", limits=None):
        self.record = record
        self.name = name
        self.folder = folder
        self.settings = settings_object
        self.state = os.path.join(folder, f"{name}-state")
        self.config_path = os.path.join(folder, f"{name}.json")
        self.log_path = os.path.join(folder, f"{name}.log")
        self.limits = limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
        os.makedirs(self.state, exist_ok=True)
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            self.port = probe.getsockname()[1]
        self.listen = f"{HOST}:{self.port}"
        self.process = None
        self.starts = 0
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            self.command = tomllib.load(file)["run"]

    def write_config(self, agent, known=None):
        self.starts += 1
        config = {"name": self.name, "listen": self.listen, "discovery": agent.address,
                  "seed": f"{0x8c1f30d27a5be964 + self.starts:016x}", "limits": self.limits, "settings": self.settings}
        if known is not None:
            config["known"] = known
        temporary = self.config_path + ".new"
        with open(temporary, "w", encoding="utf-8") as file:
            json.dump(config, file)
        os.replace(temporary, self.config_path)

    def start(self, agent, known=None, ready_within=30.0):
        self.write_config(agent, known)
        environment = dict(os.environ, GW_NAME=self.name, GW_LISTEN=self.listen, GW_DISCOVERY=agent.address,
                           GW_STATE=self.state, GW_CONFIG=self.config_path)
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", self.command], cwd=ROOT, env=environment,
                                            stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True)
        self.record(f"forwarder {self.name}: started, known list " + ("none" if known is None else f"of revision {known['revision']}"))
        deadline = time.monotonic() + ready_within
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise CannotRun(f"the forwarder ended with {self.process.returncode} at its start, see {self.log_path}")
            try:
                if request(self.port, b"GET /up HTTP/1.1\r\nHost: origin.svc\r\n\r\n", 1.0) == 200:
                    self.record(f"forwarder {self.name}: ready")
                    return
            except OSError:
                pass
            time.sleep(0.01)
        raise CannotRun("the forwarder was not ready in time")

    def signal(self, number):
        self.record(f"forwarder {self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.record(f"forwarder {self.name}: SIGKILL")
            self.process.kill()
        if self.process:
            self.process.wait()

    def submit(self, message_id, dest, time_ms, key=None, body=b"ride", path="ride-record", more=""):
        """Hands in one message on a new connection, as a client does. Returns the status, or None without an answer
        within 400 ms."""
        head = (f"POST /{path} HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {message_id}\r\nRequest-Class: {path}\r\n"
                f"Request-Timeout-Ms: {time_ms}\r\n" + (f"Idempotency-Key: {key}\r\n" if key else "")
                + f"Content-Length: {len(body)}\r\nEnvelope: dest={dest}\r\n{more}\r\n").encode()
        sent_at = self.record.now()
        try:
            status = request(self.port, head + body, 0.4)
        except OSError:
            status = None
        self.record(f"client: message {message_id} for dest {dest}, {time_ms} ms, key {key}: answered {status}", sent_at)
        return status


def request(port, data, wait):
    """Sends one request on a new connection. Returns the status of the answer, or None if none came in time."""
    with socket.create_connection((HOST, port), timeout=wait) as connection:
        connection.settimeout(wait)
        connection.sendall(data)
        try:
            parts = read_head(connection)
        except OSError:
            return None
        if parts is None:
            return None
        return int(parts[0].split(b" ")[1])


def wait_until(condition, within, step=0.005):
    deadline = time.monotonic() + within
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(step)
    return bool(condition())


def play(folder, case):
    """Runs `case(record, temporary folder, with_trouble)`, which returns a list of broken rules. Exits with 1 if a rule
    was broken, 0 if none was, 2 if the case could not run. Ends all processes that the case started."""
    record = Record(os.path.join(folder, "record.txt"))
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    temporary = tempfile.mkdtemp(prefix="review-")
    forwarders = []
    original = Forwarder.__init__

    def registered(self, *arguments, **options):
        original(self, *arguments, **options)
        forwarders.append(self)

    def stop(number, frame):
        raise CannotRun(f"the run was ended by signal {number}")

    Forwarder.__init__ = registered
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    code = 2
    try:
        record("with the disruption" if with_trouble else "without the disruption")
        broken = case(record, temporary, with_trouble)
        for text in broken:
            record("BROKEN: " + text)
            print("broken: " + text)
        if not broken:
            record("the rule held")
            print("the rule held")
        code = 1 if broken else 0
    except CannotRun as error:
        record(f"could not run: {error}")
        print(f"could not run: {error}")
    except Exception as error:  # a fault of the script says nothing on the rule
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        for forwarder in forwarders:
            forwarder.kill()
            try:
                with open(forwarder.log_path, encoding="utf-8", errors="replace") as log:
                    for line in log.read().splitlines()[-40:]:
                        record(f"log of {forwarder.name}: {line}")
            except OSError:
                pass
        shutil.rmtree(temporary, ignore_errors=True)
    sys.stdout.flush()
    os._exit(code)
