"""A planned restart while the targets of a partner are replaced, and a new target of another partner takes the address
of one that has gone."""

import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
from standins import Agent, CannotRun, Forwarder, Target, answer, answer_bytes, member, play, profile, settings, wait_until  # noqa: E402

MESSAGES = 4
TIME_MS = 12000
# PROTOCOL: 300 ms after its time is up, and each time limit is 50 ms longer on sockets.
NOTICE_DUE_S = 0.35


def case(record, folder, with_trouble):
    def hangs(target, call, connection):
        """Partner 1 takes calls and answers none until `serves_from`."""
        if record.now() < target.serves_from:
            return True
        record(f"target {target.name}: call {call['number']} with message {call['id']} answered 200")
        connection.sendall(answer_bytes("200 OK"))
        return True

    old = Target("t-old", 1, record, hangs).start()
    old.serves_from = float("inf")
    other = Target("t-other", 5, record, answer("200 OK")).start()
    targets = [old, other]
    agent = Agent(record, [member("t-old", old), member("t-other", other)]).start()
    forwarder = Forwarder(record, folder, settings([profile(limit_ms=TIME_MS)]))
    forwarder.start(agent, known=agent.list_document())

    due_at = {}
    for number in range(MESSAGES):
        message_id = f"m{number}"
        sent_at = record.now()
        if forwarder.submit(message_id, dest=1, time_ms=TIME_MS, key=f"key-{number}") == 202:
            due_at[message_id] = sent_at + TIME_MS / 1000 + NOTICE_DUE_S
    if len(due_at) < MESSAGES:
        raise CannotRun("not all messages were taken on")
    time.sleep(0.2)

    # The planned restart: SIGTERM, SIGKILL 3.7 s later, the next start 0.6 s after that. The replacement of the target
    # falls into the time without a process, so that the list as this forwarder had it last has the old target.
    forwarder.signal(signal.SIGTERM)
    terminated_at = record.now()
    if not wait_until(lambda: forwarder.process.poll() is not None, 3.7):
        raise CannotRun("the forwarder did not end by itself after SIGTERM")
    record("forwarder n0: has ended")
    known = agent.list_document()
    if with_trouble:
        agent.change([member("t-old", old, "Terminating")])
        time.sleep(0.35)
        old.stop()
        agent.change([member("t-old", old, "Gone")])
        taker = Target("t-taker", 5, record, answer("200 OK"), port=old.port).start()
        replacement = Target("t-replacement", 1, record, answer("200 OK")).start()
        targets += [taker, replacement]
        agent.change([member("t-taker", taker), member("t-replacement", replacement)])
    else:
        old.serves_from = record.now()
    time.sleep(max(0.0, terminated_at + 4.3 - record.now()))
    forwarder.start(agent, known=known)

    def is_over(message_id):
        calls = [call for target in targets if target.cell == 1 for call in target.calls_of(message_id)]
        delivered = any(call["target"] == "t-replacement" or call["at"] >= old.serves_from for call in calls)
        return delivered or bool(agent.notices_of(message_id))

    wait_until(lambda: all(is_over(message_id) for message_id in due_at), max(due_at.values()) - record.now())

    broken = []
    for target in targets:
        for call in target.calls:
            if target.cell != 1:
                broken.append(f"message {call['id']} for dest 1 was sent to {target.name}, a target of cell {target.cell}, at {call['at']:.4f}")
    for message_id in due_at:
        if not is_over(message_id):
            broken.append(f"message {message_id} was taken on, and 350 ms after its time was up it had been delivered to no target of cell 1 and ended by no notice")
    return broken


play(HERE, case)
