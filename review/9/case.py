"""Answers with 500 that keep coming: the message is sent again while its earlier call is still out."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from world import *  # noqa: E402,F403

BILLING = {"DedupWindowUs": 30000000, "Effect": "guarded", "Group": "all", "GoalTimeUs": 4000000, "HardLimitUs": 28000000,
           "LateShare": 0.5, "Name": "ride-billing", "Points": 1.0, "Stream": False}
STATUS = {"Effect": "free", "GoalTimeUs": 1000000, "HardLimitUs": 5000000, "LateShare": 0.0, "Name": "fleet-status",
          "Points": 1.0, "Stream": False}
SLACK = 0.05  # each time limit is 50 ms longer on sockets


def ostrava():
    return settings(
        Azs=["ostrava-dc"], HostTypes=["big-planners", "small-partners"],
        Limits={"ConnectTimeoutUs": 1500000, "SecondCopies": False, "MayTell": False},
        Rules={"ColdFrom": 0.16, "DrainGraceUs": 500000, "FallMultiple": 2.5, "OverloadForUs": 3000000,
               "WarmAfterUs": 14000000}, Profiles=[BILLING, STATUS])


async def case(world):
    agent = Agent(world)

    async def behave(target, call, reader, writer):
        await asyncio.sleep(0.05)
        if TROUBLE and call.number % 5 == 0:
            # A spoilt answer, said to have 3 GB, that keeps coming. The connection stays open.
            call.status = "500, which keeps coming"
            writer.write(b"HTTP/1.1 500 Error\r\nContent-Length: 3000000000\r\n\r\n")
            while True:
                writer.write(b"x" * 1000)
                await writer.drain()
                if await gone_or(reader, 0.02):
                    raise ConnectionResetError
        await reply(call, writer, 200)

    targets = []
    for number in range(2):
        targets.append(await Target(world, "s-%d" % (number + 1), 1, behave, zone="ostrava-dc",
                                    kind="small-partners").start())
        agent.tell((targets[-1], "Ready"))
    await agent.start()
    forwarder = Forwarder(world, agent, ostrava())
    await forwarder.start()
    client = Client(world, forwarder)
    for number in range(60):
        cls = ("ride-billing", "fleet-status")[number % 2]
        await client.submit("%s-%d" % (cls, number), cls=cls, timeout_ms=5000 if number % 2 else 28000,
                            key="key-%d" % number if cls == "ride-billing" else None)
        await asyncio.sleep(0.15)
    await asyncio.sleep(3)

    breaks = []
    calls = sorted((call for target in targets for call in target.calls), key=lambda call: call.at)
    for index, call in enumerate(calls):
        for later in calls[index + 1:]:
            ended = min(call.answered_at or 1e9, call.ended_at or 1e9)
            if later.id == call.id and ended > later.at + SLACK:
                breaks.append("%s: a second call came at %.3f, while the call of %.3f was out on an open connection "
                              "until %.3f" % (call.id, later.at, call.at, ended))
    return breaks


main(os.path.dirname(os.path.abspath(__file__)), case)
