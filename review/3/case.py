"""A configuration raises MaxHeaderBytes; clients go on using connections that were open before."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins"))
from small_deployment import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENTS = 10
SMALL, LARGE = 4096, 16384  # MaxHeaderBytes before and after the change
HEAD_BYTES = 6000  # of the header field that only the newer configuration allows


async def ask(connection, record, name, large):
    attempt = new_attempt()
    fields = [("Host", "maps.example"), ("Attempt-Id", attempt), ("Remaining-Time", "1500")]
    if large:
        fields.append(("X-Session", "a" * HEAD_BYTES))
    request = request_bytes("GET", "/maps/%s" % attempt, fields)
    record("%s sends %s, a head of %d bytes" % (name, attempt, len(request)))
    status, _, _ = await exchange(*connection, request, 3)
    record("%s gets %d for %s" % (name, status, attempt))
    return status


async def case(deployment, record):
    deployment.start_all()
    operator = Operator(deployment, record)
    instances = [Instance(deployment, "mapovnik", record) for _ in range(3)]
    for instance in instances:
        await instance.start()
    # Without the disruption the first configuration has the larger limit already, and the second changes a time-out.
    first, second = configuration("00000001", SMALL if TROUBLE else LARGE), configuration("00000003", LARGE, 1.9)
    if (await operator.call("POST", "/api/Configuration.Replace", first, "00000000"))[0] != 200:
        raise CannotRun("the first configuration is not taken")
    await wait_until_ready(deployment)
    await asyncio.sleep(BOUNDS["ContactS"] + 1.5)
    connections = [await asyncio.open_connection(*deployment.front(n % 2), limit=1 << 20) for n in range(CLIENTS)]

    async def all_ask(large):
        names = ["client %d (kept connection)" % n for n in range(CLIENTS)]
        return await asyncio.gather(*[ask(c, record, n, large) for c, n in zip(connections, names)])

    if set(await all_ask(False)) != {200}:
        raise CannotRun("the kept connections are not served")
    if (await operator.call("POST", "/api/Configuration.Replace", second, "00000001"))[0] != 200:
        raise CannotRun("the second configuration is not acknowledged")
    acknowledged = time.monotonic()
    # The connections are in use all the while; nothing is stopped, slowed or cut.
    while time.monotonic() < acknowledged + BOUNDS["ConfigApplyS"] + 1.5:
        await asyncio.sleep(0.5)
        if set(await all_ask(False)) != {200}:
            raise CannotRun("the kept connections are not served")
    fresh = []
    for n in range(2):
        connection = await asyncio.open_connection(*deployment.front(n), limit=1 << 20)
        fresh.append(await ask(connection, record, "a client with a new connection to gateway %d" % n, True))
        connection[1].close()
    if fresh != [200, 200]:
        raise CannotRun("the new limit is not in force for new connections either")
    after = time.monotonic() - acknowledged
    statuses = await all_ask(True)
    if deployment.ended():
        raise CannotRun("processes have ended: %s" % deployment.ended())
    return ["client %d: %d, %.1f s after the acknowledgement, as only the older version has it" % (n, status, after)
            for n, status in enumerate(statuses) if status == 431]


sys.exit(main(case, FOLDER))
