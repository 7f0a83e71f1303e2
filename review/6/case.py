"""An edge node must stay within its limit on memory, whatever clients send.

Bad clients send hundreds of requests at once, each client on its own connection and for many accounts. The stand-in of the platform looks at the
resident memory of the edge node and kills it once that is over the limit. Usual clients send a request now and then.
"""

import asyncio
import os
import selectors
import signal
import socket
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand-ins-2"))
import standins as lab  # noqa: E402

MEMORY_MB = 32
# The limit in the larger of the two readings of a megabyte.
LIMIT_BYTES = MEMORY_MB * 1024 * 1024
SOCKETS = 1024
BAD_CLIENTS = 300
REQUESTS_AT_ONCE = 150
USUAL_CLIENTS = 60
USUAL_PAUSE_S = 0.5
SERVERS = 10
LOAD_S = 12.0
WORK_S = 0.08


def flood(port, seed):
    """Runs the bad clients, in a process of its own: each sends at full speed and reads whatever it is sent."""
    selector = selectors.DefaultSelector()
    for number in range(BAD_CLIENTS):
        requests = b"".join(
            lab.request_text("site-tally", "bad%05x%05x%03x" % (seed & 0xfffff, number, index), 2000,
                             100000 + number * REQUESTS_AT_ONCE + index, "institute")
            for index in range(REQUESTS_AT_ONCE))
        one = socket.socket()
        one.settimeout(5.0)
        one.connect((lab.HOST, port))
        one.setblocking(False)
        selector.register(one, selectors.EVENT_READ | selectors.EVENT_WRITE, [memoryview(requests)])
    until = time.time() + LOAD_S
    while time.time() < until and selector.get_map():
        for key, events in selector.select(0.05):
            try:
                if events & selectors.EVENT_WRITE:
                    key.data[0] = key.data[0][key.fileobj.send(key.data[0]):]
                    if not key.data[0]:
                        selector.modify(key.fileobj, selectors.EVENT_READ, key.data)
                if events & selectors.EVENT_READ and not key.fileobj.recv(65536):
                    raise ConnectionError
            except BlockingIOError:
                pass
            except OSError:
                selector.unregister(key.fileobj)
                key.fileobj.close()


class Platform:
    """Kills the edge node once it holds more memory than its limit."""

    def __init__(self, case, node):
        self.case, self.node = case, node
        self.peak = 0
        self.killed = False

    async def watch(self):
        while not self.killed and not self.node.has_crashed():
            self.peak = max(self.peak, self.resident_bytes())
            if self.peak > LIMIT_BYTES:
                self.killed = True
                self.node.signal(signal.SIGKILL)
                self.case.say("the platform kills the edge node: %.1f MiB of %d" % (self.peak / 2**20, MEMORY_MB))
            await asyncio.sleep(0.02)

    def resident_bytes(self):
        try:
            with open("/proc/%d/status" % self.node.process.pid) as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) * 1024
        except OSError:
            pass
        return 0


async def usual_client(case, node, number, until, statuses):
    connection = None
    await asyncio.sleep(case.random.uniform(0.0, USUAL_PAUSE_S))
    while time.time() < until:
        request_id = case.new_id()
        try:
            if connection is None:
                connection = await asyncio.open_connection(lab.HOST, node.port)
                lab.set_nodelay(connection[1])
            connection[1].write(lab.request_text("checklist-save", request_id, 3000, 1 + number, "institute"))
            case.note("usual client %d sends %s" % (number, request_id))
            answer = await asyncio.wait_for(lab.read_answer(connection[0]), 3.55)
        except ConnectionRefusedError:
            answer = lab.Answer(None, why="refused connection")
        except (OSError, asyncio.TimeoutError):
            answer = lab.Answer(None, why="no answer")
        key = str(answer.status or answer.why)
        case.note("usual client %d, %s: %s" % (number, request_id, key))
        statuses[key] = statuses.get(key, 0) + 1
        if answer.closes() and connection is not None:
            connection[1].close()
            connection = None
        await asyncio.sleep(USUAL_PAUSE_S)


async def play(case):
    servers = [await lab.AppServer(case, "s-%d" % number, WORK_S).start() for number in range(SERVERS)]
    entries = [lab.entry(server) for server in servers]
    discovery = await lab.Discovery(case, entries, 41).start()
    counter = await lab.Counter().start()
    node = await lab.EdgeNode(case, discovery, counter, entries, lab.settings("dakar-main"), sockets=SOCKETS,
                              memory_mb=MEMORY_MB).start()
    platform = Platform(case, node)
    watching = asyncio.ensure_future(platform.watch())
    statuses = {}
    until = time.time() + 1.0 + LOAD_S
    usual = [asyncio.ensure_future(usual_client(case, node, number, until, statuses))
             for number in range(USUAL_CLIENTS)]
    await asyncio.sleep(1.0)
    if statuses.get("200", 0) == 0:
        raise lab.NotRun("nothing was served before the disruption")
    if case.trouble:
        case.note("%d bad clients send %d requests each at once" % (BAD_CLIENTS, REQUESTS_AT_ONCE))
        case.start_child(flood, node.port, case.seed)
    await asyncio.gather(*usual)
    watching.cancel()
    case.say("usual requests: %s" % ", ".join("%s: %d" % item for item in sorted(statuses.items())))
    case.say("peak of resident memory: %.1f MiB, limit %d MiB" % (platform.peak / 2**20, MEMORY_MB))
    if node.has_crashed() and not platform.killed:
        case.say("the edge node ended by itself: %s" % node.log_text()[-400:])
    return not node.has_crashed()


if __name__ == "__main__":
    lab.Case(HERE).run(play)
