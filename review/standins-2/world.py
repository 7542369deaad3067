"""Stand-ins for the cases of this review: discovery and platform, targets, clients, and the forwarder's process.

Python's standard library only. Every address is in 127.0.0.0/8, every port is free at the time of the start.
Each stand-in follows the protocol page; a case gives a target its behaviour as a function.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run: exit code 2."""


def deploy_command(key):
    """Returns the command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        for line in file:
            if line.startswith(key + " "):
                return line.split('"')[1]
    raise CannotRun("no %s in the deploy file" % key)


def free_port(ip="127.0.0.1"):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class World:
    """One run: the clock, the record and the parts that must be ended."""

    def __init__(self, folder):
        self.t0 = time.time()
        self.folder = folder
        self.record_file = open(os.path.join(folder, "record.txt"), "w")
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.forwarders = []
        self.background = set()
        self.note("trouble: %s" % ("on" if TROUBLE else "off"))

    def now(self):
        return time.time() - self.t0

    def note(self, text, at=None):
        self.record_file.write("%9.3f %s\n" % (self.now() if at is None else at, text))
        self.record_file.flush()

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.background.add(task)
        task.add_done_callback(self.background.discard)
        return task

    async def end(self):
        for forwarder in self.forwarders:
            await forwarder.kill()
            log = os.path.join(self.temp, "%s.log" % forwarder.name)
            if os.path.exists(log):
                self.record_file.write("\nthe log of %s\n" % forwarder.name)
                with open(log, errors="replace") as lines:
                    self.record_file.write(lines.read())
        self.record_file.close()
        for task in list(self.background):
            task.cancel()
        shutil.rmtree(self.temp, ignore_errors=True)


def settings(**changes):
    """Returns the settings of a small deployment, after the example of the wire page."""
    base = {
        "Accounts": [],
        "Azs": ["brno-dc"],
        "Balancers": 1,
        "Callers": {"MarksRetry": False},
        "Domain": {"Fades": "halving", "PerCall": [1, 1], "RoutesApart": [False, False], "Workers": 38,
                   "ZoneFee": [0.0]},
        "HostTypes": ["major-partner", "any-partner"],
        "Limits": {"Cancelling": True, "ConnIdleUs": 5000000, "ConnectTimeoutUs": 1000000, "MaxAttempts": 6,
                   "MaxOpen": 334, "MaxRetryAfterUs": 2000000, "MayTell": False, "Multiplex": 1, "Probing": True,
                   "RetryAfter": True, "SecondCopies": True},
        "LoadReport": {"How": "off", "Names": []},
        "Me": 0,
        "MembershipMode": "pushed",
        "OverShareWorth": 0.1,
        "Profiles": [{"DedupWindowUs": 15000000, "Effect": "guarded", "GoalTimeUs": 2500000, "Group": "all",
                      "HardLimitUs": 28000000, "LateShare": 0.5, "Name": "ride-record", "Points": 1.0,
                      "Stream": False}],
        "QuantumUs": 5000,
        "Rules": {"AnswerSlackUs": 20000, "AskWithinUs": 10000000, "ColdFrom": 0.22, "DrainGraceUs": 1000000,
                  "FallMultiple": 2.0, "OverloadForUs": 2000000, "WarmAfterUs": 13000000},
        "ServiceType": "deliver",
        "Tier": 0,
        "Tiers": ["partner-systems"],
        "Weights": "nominal",
        "WorthBy": "request",
        "Zone": 0,
    }
    for key, value in changes.items():
        if isinstance(value, dict):
            base[key].update(value)
        else:
            base[key] = value
    return base


# ---- HTTP on sockets


async def read_head(reader):
    """Reads one head. Returns its first line and its headers, or None at the end of the stream."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader):
    """Reads a head and its body. Returns (first line, headers, body) or None."""
    head = await read_head(reader)
    if head is None:
        return None
    length = int(head[1].get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head[0], head[1], body


def answer(status, body=b"", headers=(), reason="X"):
    head = "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n" % (status, reason, len(body))
    for name, value in headers:
        head += "%s: %s\r\n" % (name, value)
    return head.encode() + b"\r\n" + body


def no_delay(writer):
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


# ---- discovery and platform


class Agent:
    """Discovery and the platform: the list, watches, and the notices."""

    def __init__(self, world, ip="127.0.0.1", name="agent"):
        self.world = world
        self.ip = ip
        self.port = free_port(ip)
        self.name = name
        self.revision = 1
        self.members = {}
        self.changes = []  # (revision, member as told)
        self.changed = asyncio.Event()
        self.silent = False
        self.notices = []  # (time, id, status)
        self.server = None
        self.reads = []  # (time, path)
        self.on_notice = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    def member(self, target, phase="Ready"):
        return {"id": target.id, "host_port": target.address, "locality": target.zone, "flavor": target.kind,
                "cell": target.cell, "phase": phase, "size": target.rate, "up_since_ms": target.up_since_ms}

    def tell(self, *entries):
        """Changes the list: pairs of target and phase."""
        self.revision += 1
        for target, phase in entries:
            told = self.member(target, phase)
            self.changes.append((self.revision, told))
            if phase == "Gone":
                self.members.pop(target.id, None)
            else:
                self.members[target.id] = told
            self.world.note("list %d: %s at %s is %s" % (self.revision, target.id, target.address, phase))
        self.changed.set()
        self.changed = asyncio.Event()

    def known(self):
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    async def hush(self):
        while self.silent:
            await asyncio.sleep(0.02)

    async def serve(self, reader, writer):
        no_delay(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, _, body = message
                method, path, _ = line.split(" ", 2)
                if method == "POST":
                    for text in body.decode().splitlines():
                        notice = json.loads(text)
                        self.notices.append((self.world.now(), notice["id"], notice["status"]))
                        self.world.note("%s got the notice %s" % (self.name, text))
                        if self.on_notice:
                            self.on_notice(notice)
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                    await writer.drain()
                    continue
                self.reads.append((self.world.now(), path))
                query = dict(part.split("=") for part in path.partition("?")[2].split("&") if part)
                document = await self.document(query)
                payload = json.dumps(document).encode()
                writer.write(answer(200, payload))
                await writer.drain()
                self.world.note("%s told the list %d (%s)" % (
                    self.name, document["revision"], "whole" if document["complete"] else
                    "%d changes" % len(document["members"])))
        except ConnectionError:
            pass
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()

    async def document(self, query):
        await self.hush()
        if "index" not in query:
            return self.known()
        index, until = int(query["index"]), time.time() + int(query.get("wait", "0")) / 1000
        while self.revision <= index and time.time() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, until - time.time()))
            except asyncio.TimeoutError:
                break
        await self.hush()
        changed = {}
        for revision, told in self.changes:
            if revision > index:
                changed.pop(told["id"], None)
                changed[told["id"]] = told
        return {"revision": self.revision, "complete": False, "members": list(changed.values())}


# ---- targets


class Call:
    """One call that has come in whole at a target."""

    def __init__(self, number, at, connection, headers, body):
        self.number = number
        self.at = at
        self.connection = connection
        self.id = headers.get("request-id")
        self.key = headers.get("idempotency-key")
        self.timeout_ms = int(headers.get("request-timeout-ms", "0"))
        self.headers = headers
        self.body = body
        self.answered_at = None  # when the last byte of its answer was written
        self.ended_at = None  # when its connection had ended
        self.status = None


class Target:
    """One target. `behave(target, call, reader, writer)` answers a call; a probe is answered 200 at once."""

    counter = 0

    def __init__(self, world, ident, cell, behave, rate=20.0, zone="brno-dc", kind="any-partner", ip="127.0.0.1",
                 port=None):
        self.world = world
        self.id = ident
        self.cell = cell
        self.behave = behave
        self.rate = rate
        self.zone = zone
        self.kind = kind
        self.ip = ip
        self.port = port or free_port(ip)
        self.up_since_ms = 0
        self.calls = []
        self.probes = []
        self.server = None
        self.writers = set()
        self.probe_status = lambda: 200

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        return self

    async def crash(self):
        """Ends as a process that dies: its connections are reset, new ones are refused."""
        self.server.close()
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            writer.transport.abort()
        self.server = None

    async def serve(self, reader, writer):
        no_delay(writer)
        self.writers.add(writer)
        Target.counter += 1
        connection = Target.counter
        call = None
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                at = self.world.now()
                if line.startswith("GET"):
                    self.probes.append(at)
                    status = self.probe_status()
                    self.world.note("%s: probe, answered %d" % (self.id, status))
                    writer.write(answer(status))
                    await writer.drain()
                    continue
                call = Call(len(self.calls) + 1, at, connection, headers, body)
                self.calls.append(call)
                self.world.note("%s: call %d of %s has come, connection %d" % (self.id, call.number, call.id, connection))
                await self.behave(self, call, reader, writer)
                if call.answered_at is None:
                    call.answered_at = self.world.now()
                self.world.note("%s: call %d of %s answered %s" % (self.id, call.number, call.id, call.status))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            if call is not None:
                call.ended_at = self.world.now()
                if call.answered_at is None:
                    self.world.note("%s: the connection of call %d of %s has ended unanswered" % (self.id, call.number, call.id))
            self.writers.discard(writer)
            writer.close()


async def reply(call, writer, status, headers=(), body=b""):
    call.status = status
    writer.write(answer(status, body, headers))
    await writer.drain()


def serves(seconds=0.02):
    """A sound target: answers 200 after its service time."""

    async def behave(target, call, reader, writer):
        await asyncio.sleep(seconds)
        await reply(call, writer, 200)

    return behave


async def gone_or(reader, seconds):
    """Waits so long, or until the peer has ended the connection. Returns whether it has."""
    try:
        more = await asyncio.wait_for(reader.read(1), seconds)
        return more == b""
    except asyncio.TimeoutError:
        return False
    except ConnectionError:
        return True


# ---- the forwarder


class Forwarder:
    def __init__(self, world, agent, given, name="n0", limits=None, ip="127.0.0.1"):
        self.world = world
        self.agent = agent
        self.name = name
        self.ip = ip
        self.port = free_port(ip)
        self.given = given
        self.limits = limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
        self.state = os.path.join(world.temp, name + "-state")
        os.makedirs(self.state)
        self.config = os.path.join(world.temp, name + "-config.json")
        self.process = None
        self.starts = 0
        self.exited = None
        world.forwarders.append(self)

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    def write_config(self, agent=None, known=True, given=None):
        """Writes the file. `known` is a list in discovery's form, True for the agent's present one, False for none."""
        agent = agent or self.agent
        config = {"name": self.name, "listen": self.address, "discovery": agent.address,
                  "seed": "%016x" % (0x8c1f30d27a5be964 + self.starts), "limits": self.limits,
                  "settings": given or self.given}
        if known:
            config["known"] = agent.known() if known is True else known
        with open(self.config + ".new", "w") as file:
            json.dump(config, file)
        os.rename(self.config + ".new", self.config)

    async def start(self, known=True, given=None, wait=True):
        self.starts += 1
        self.write_config(known=known, given=given)
        env = {"PATH": os.environ.get("PATH", ""), "TMPDIR": self.world.temp, "GW_NAME": self.name,
               "GW_LISTEN": self.address, "GW_DISCOVERY": self.agent.address, "GW_STATE": self.state,
               "GW_CONFIG": self.config}
        if not os.access(os.path.join(ROOT, deploy_command("run").split()[-1]), os.X_OK):
            raise CannotRun("the build of the deploy file is missing")
        log = open(os.path.join(self.world.temp, "%s.log" % self.name), "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", deploy_command("run"), cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log)
        self.world.note("%s started, process %d" % (self.name, self.process.pid))
        if wait:
            await self.ready()

    async def ready(self, seconds=10):
        until = time.time() + seconds
        while time.time() < until:
            if self.process.returncode is not None:
                raise CannotRun("the forwarder ended with %s" % self.process.returncode)
            try:
                reader, writer = await asyncio.open_connection(self.ip, self.port)
                writer.write(b"GET /up HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if head and " 200 " in head[0] + " ":
                    self.world.note("%s is ready" % self.name)
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.02)
        raise CannotRun("the forwarder was not ready in time")

    def send_signal(self, which):
        self.world.note("%s gets %s" % (self.name, which.name))
        try:
            os.kill(self.process.pid, which)
        except ProcessLookupError:
            pass

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            try:
                os.kill(self.process.pid, signal.SIGKILL)
            except ProcessLookupError:
                pass
            await self.process.wait()

    async def restart_by_kill(self, after=0.6, **how):
        """Some restarts come as SIGKILL alone; the next start comes 0.6 s later."""
        self.send_signal(signal.SIGKILL)
        await self.process.wait()
        await asyncio.sleep(after)
        await self.start(**how)


# ---- clients


class Client:
    """Clients that keep their connections, one request at a time on each."""

    def __init__(self, world, forwarder):
        self.world = world
        self.forwarder = forwarder
        self.free = []
        self.answers = {}  # id: (time sent, status or None, time answered)

    def request(self, ident, body=b"ride", cls="ride-record", dest=1, timeout_ms=20000, key=None, more=()):
        head = "POST /%s HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: %s\r\nRequest-Class: %s\r\n" % (cls, ident, cls)
        head += "Request-Timeout-Ms: %d\r\nEnvelope: dest=%d\r\n" % (timeout_ms, dest)
        if key is not None:
            head += "Idempotency-Key: %s\r\n" % key
        for name, value in more:
            head += "%s: %s\r\n" % (name, value)
        return head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body

    async def submit(self, ident, **what):
        """Hands one message in and returns the status, or None without an answer within 400 ms."""
        if "key" not in what:
            what["key"] = "k-" + ident
        data = self.request(ident, **what)
        for attempt in range(2):
            try:
                if self.free and attempt == 0:
                    reader, writer = self.free.pop()
                    reused = True
                else:
                    reader, writer = await asyncio.open_connection(self.forwarder.ip, self.forwarder.port)
                    no_delay(writer)
                    reused = False
            except OSError:
                self.answers[ident] = (self.world.now(), None, None)
                return None
            sent = self.world.now()
            try:
                writer.write(data)
                message = await asyncio.wait_for(read_message(reader), 0.4)
            except asyncio.TimeoutError:
                writer.close()
                self.answers[ident] = (sent, None, None)
                self.world.note("client: %s sent, no answer" % ident, sent)
                return None
            except ConnectionError:
                message = None
            if message is None:
                writer.close()
                if reused:
                    continue  # the close crossed the request: once more on a new connection
                self.answers[ident] = (sent, None, None)
                self.world.note("client: %s sent, the connection ended" % ident, sent)
                return None
            status = int(message[0].split(" ")[1])
            if message[1].get("connection", "").lower() == "close":
                writer.close()
            else:
                self.free.append((reader, writer))
            self.answers[ident] = (sent, status, self.world.now())
            self.world.note("client: %s sent, answered %d" % (ident, status), sent)
            return status
        return None


def main(folder, case):
    """Runs `case(world)`, which returns the breaks of the rule as texts, and exits with 0, 1 or 2."""

    async def run():
        world = World(folder)
        code = 2
        try:
            breaks = await asyncio.wait_for(case(world), float(os.environ.get("CASE_SECONDS", "110")))
            for text in breaks:
                world.note("BROKEN: " + text)
                print("broken: " + text)
            world.note("result: the rule %s" % ("was broken" if breaks else "held"))
            print("the rule %s" % ("was broken" if breaks else "held"))
            code = 1 if breaks else 0
        except CannotRun as error:
            world.note("could not run: %s" % error)
            print("could not run: %s" % error)
        except asyncio.TimeoutError:
            world.note("could not run: it took too long")
            print("could not run: it took too long")
        finally:
            await world.end()
        return code

    code = asyncio.run(run())
    sys.exit(code)
