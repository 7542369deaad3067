"""Bad clients that send half a request each, beside a usual client. The platform kills a forwarder over its memory."""

import os
import signal
import subprocess
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
from standins import Agent, CannotRun, Forwarder, Target, answer, member, play, profile, settings  # noqa: E402

# The highest limits of the pages ("192 MB and 1,024 descriptors at most"); clients hold at most a third of the
# descriptors for requests.
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
BAD_CLIENTS = 200
WRITE_BYTES = 64
ROUNDS = 10
PLAY_S = 20.0
MB = 1024 * 1024


def resident_bytes(pid):
    """Returns the present and the peak resident memory of a process, as the system counts them."""
    fields = {}
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        for line in file:
            name, _, value = line.partition(":")
            fields[name] = value
    return int(fields["VmRSS"].split()[0]) * 1024, int(fields["VmHWM"].split()[0]) * 1024


def case(record, folder, with_trouble):
    target = Target("t-1", 1, record, answer("200 OK")).start()
    agent = Agent(record, [member("t-1", target, size=50.0)]).start()
    forwarder = Forwarder(record, folder, settings([profile()]), limits=LIMITS)
    forwarder.start(agent, known=agent.list_document())
    pid = forwarder.process.pid
    broken = []
    over = threading.Event()

    def platform_watches_memory():
        shown = 0.0
        while not over.is_set():
            try:
                resident, peak = resident_bytes(pid)
            except (OSError, KeyError):
                return
            if peak > LIMITS["memory_mb"] * MB:
                text = f"the forwarder held {peak / MB:.0f} MB with memory_mb = {LIMITS['memory_mb']}, so that the platform killed it"
                forwarder.process.send_signal(signal.SIGKILL)
                record("platform: " + text)
                broken.append(text)
                over.set()
                return
            if record.now() - shown > 0.5:
                shown = record.now()
                record(f"platform: the forwarder holds {resident / MB:.1f} MB, {peak / MB:.1f} MB at most so far")
            time.sleep(0.005)

    watch = threading.Thread(target=platform_watches_memory, daemon=True)
    watch.start()
    bad_clients = None
    if with_trouble:
        command = [sys.executable, os.path.join(HERE, "bad_clients.py"), str(forwarder.port), str(BAD_CLIENTS), str(WRITE_BYTES), str(ROUNDS)]
        bad_clients = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
        record(f"{BAD_CLIENTS} bad clients started")
    try:
        begun_at = record.now()
        number = 0
        while record.now() - begun_at < PLAY_S and not over.is_set():
            forwarder.submit(f"m{number}", dest=1, time_ms=12000, key=f"key-{number}")
            number += 1
            time.sleep(0.1)
            if forwarder.process.poll() is not None and not over.is_set():
                broken.append(f"the forwarder ended by itself with {forwarder.process.returncode}")
                break
    finally:
        over.set()
        watch.join(2)
        if bad_clients:
            bad_clients.kill()
            output, _ = bad_clients.communicate()
            for line in output.splitlines():
                record("bad clients: " + line)
    if not target.calls:
        raise CannotRun("no message of the usual client was delivered")
    return broken


play(HERE, case)
