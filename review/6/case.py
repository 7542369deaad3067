"""A forwarder is restarted while discovery is down; meanwhile a target of another destination has taken an address."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from world import *  # noqa: E402,F403

OUTAGE = 8.0  # discovery is down for 8 s


async def case(world):
    agent = Agent(world)
    old = await Target(world, "s-1", 1, serves()).start()
    other = await Target(world, "s-2", 2, serves()).start()
    agent.tell((old, "Ready"), (other, "Ready"))
    await agent.start()
    forwarder = Forwarder(world, agent, settings())
    await forwarder.start()
    client = Client(world, forwarder)
    for number in range(3):
        await client.submit("before-%d" % number, dest=1)
        await asyncio.sleep(0.2)

    # A planned restart. The list as this forwarder had it last goes into its next configuration.
    known = agent.known()
    stopped_at = world.now()
    forwarder.send_signal(signal.SIGTERM)
    await forwarder.process.wait()
    world.note("n0 has ended after SIGTERM")

    # Meanwhile the target s-1 is replaced. A target of destination 2 takes its address.
    await old.crash()
    agent.tell((old, "Gone"))
    taker = await Target(world, "s-9", 2, serves(), port=old.port).start()
    heir = await Target(world, "s-10", 1, serves()).start()
    agent.tell((taker, "Ready"), (heir, "Ready"))
    told_at = world.now()
    await asyncio.sleep(max(0.0, stopped_at + 3.7 - world.now()))
    if TROUBLE:
        agent.silent = True
        world.note("discovery is down: the agent, which has the list %d, is silent" % agent.revision)
    down_at = world.now()
    await asyncio.sleep(0.6)

    await forwarder.start(known=known)
    client.free.clear()
    for number in range(5):
        await client.submit("after-%d" % number, dest=1)
        await asyncio.sleep(0.1)
    await asyncio.sleep(max(0.0, down_at + OUTAGE - world.now()))
    agent.silent = False
    world.note("discovery is back")
    await asyncio.sleep(3)

    breaks = []
    for target in (other, taker):
        for call in target.calls:
            breaks.append("%s for destination 1 came at %.3f to %s, whose cell is %d since the list of %.3f; answered %s"
                          % (call.id, call.at, target.id, target.cell, told_at, call.status))
    for ident, (_, status, _) in client.answers.items():
        right = [call.status for target in (old, heir) for call in target.calls if call.id == ident]
        notices = [kind for _, noticed, kind in agent.notices if noticed == ident]
        world.note("%s: client %s, calls at targets of destination 1: %s, notices: %s" % (ident, status, right, notices))
    return breaks


main(os.path.dirname(os.path.abspath(__file__)), case)
