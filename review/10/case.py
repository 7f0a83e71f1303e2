"""After a new configuration an edge node has to follow the list of the new discovery, also where that is slow.

The configuration is replaced and the edge node gets SIGHUP. The new discovery answers each call 0.7 s late. Half of
the app servers on its list drain. A draining app server turns new requests away, as the protocol page says.
"""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand-ins-2"))
import standins as lab  # noqa: E402

SLOW_S = 0.7
SERVERS = 8
DRAINING = 4
# What discovery has to tell counts as told 4 s after SIGHUP; 0.5 s of grace; 0.05 s more on sockets.
TOLD_AFTER_S, GRACE_S, SOCKETS_S = 4.0, 0.5, 0.05
WATCHED_S = 25.0


class DrainingServer(lab.AppServer):
    """An app server that turns new requests away once it drains."""

    drains = False

    def __init__(self, case, name):
        super().__init__(case, name)
        self.arrivals = []

    async def answer(self, request, reader, writer):
        self.arrivals.append((time.time(), request[1]["x-request-id"]))
        if not self.drains:
            return await super().answer(request, reader, writer)
        self.case.note("%s drains and turns %s away" % (self.name, request[1]["x-request-id"]))
        writer.write(b"HTTP/1.1 503 Draining\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")


async def client(case, node, number, until, statuses):
    connection = None
    while time.time() < until:
        await asyncio.sleep(case.random.expovariate(5.0))
        request_id = case.new_id()
        try:
            if connection is None:
                connection = await asyncio.open_connection(lab.HOST, node.port)
                lab.set_nodelay(connection[1])
            connection[1].write(lab.request_text("site-tally", request_id, 2000, 1 + number, "institute"))
            answer = await asyncio.wait_for(lab.read_answer(connection[0]), 2.55)
        except (OSError, asyncio.TimeoutError):
            answer = lab.Answer(None, why="no answer")
        key = str(answer.status or answer.why)
        case.note("client %d, %s: %s" % (number, request_id, key))
        statuses[key] = statuses.get(key, 0) + 1
        if answer.closes() and connection is not None:
            connection[1].close()
            connection = None


async def play(case):
    servers = [await DrainingServer(case, "s-%d" % number).start() for number in range(SERVERS)]
    entries = [lab.entry(server) for server in servers]
    old = await lab.Discovery(case, entries, 41).start()
    new = await lab.Discovery(case, entries, 7, SLOW_S if case.trouble else 0.0).start()
    counter = await lab.Counter().start()
    node_settings = lab.settings("dakar-main", registry_mode="ask")
    node = await lab.EdgeNode(case, old, counter, entries, node_settings).start()
    statuses = {}
    until = time.time() + 3.0 + WATCHED_S
    clients = [asyncio.ensure_future(client(case, node, number, until, statuses)) for number in range(16)]
    await asyncio.sleep(3.0)

    node.configuration["discovery"] = "%s:%d" % (lab.HOST, new.port)
    node.write_configuration()
    for server in servers[:DRAINING]:
        server.drains = True
    new.change(*[lab.entry(server, "draining") for server in servers[:DRAINING]])
    node.signal(signal.SIGHUP)
    moved_at = time.time()
    case.note("SIGHUP; the new discovery lists %d app servers as draining" % DRAINING)
    old.server.close()
    await asyncio.gather(*clients)

    limit = moved_at + TOLD_AFTER_S + GRACE_S + SOCKETS_S
    late = [at - moved_at for server in servers[:DRAINING] for at, _ in server.arrivals if at > limit]
    case.say("answers: %s; calls to the new discovery: %d" % (
        ", ".join("%s: %d" % item for item in sorted(statuses.items())), new.calls))
    case.say("requests sent to draining app servers later than %.2f s after SIGHUP: %d%s" % (
        limit - moved_at, len(late), ", the last one %.1f s after it" % max(late) if late else ""))
    if node.has_crashed():
        raise lab.NotRun("the edge node has ended")
    if not statuses.get("200"):
        raise lab.NotRun("nothing was served")
    return not late


if __name__ == "__main__":
    lab.Case(HERE).run(play)
