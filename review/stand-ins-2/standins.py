"""Stand-ins for the peers of an edge node, and what the scripts of this review share.

The stand-ins are small servers and clients on loopback addresses: app servers, discovery, the quota counter
and clients. Each of them does what the protocol page says of it; what a script adds to that is the disruption
of its case. Only the standard library of Python 3.8 or later is used.
"""

import asyncio
import atexit
import json
import multiprocessing
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

HELD, BROKEN, NOT_RUN = 0, 1, 2
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"
# A script ends with NOT_RUN when it has run for this long.
TIME_LIMIT_S = 115.0
READY_TIME_S = 30.0


class NotRun(Exception):
    """The case could not be run."""


class Case:
    """One run of a case: its record, its temporary folder and the processes that it has started."""

    def __init__(self, folder):
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started_at = time.time()
        self.record = open(os.path.join(folder, "record.txt"), "w", buffering=1 << 16)
        self.record_lock = threading.Lock()
        self.processes = []
        self.children = []
        self.temporary = tempfile.mkdtemp(prefix="review-")
        seed = os.environ.get("SEED")
        self.seed = int(seed) if seed else random.SystemRandom().getrandbits(32)
        self.random = random.Random(self.seed)
        atexit.register(self.clean_up)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda *_: self.leave(NOT_RUN, "the script was told to end"))
        watchdog = threading.Timer(TIME_LIMIT_S, self.leave, (NOT_RUN, "the script ran for too long"))
        watchdog.daemon = True
        watchdog.start()
        self.note("disruption: %s, seed %d" % ("on" if self.trouble else "off", self.seed))

    def note(self, text):
        """Writes one line to the record, behind the time since the start in milliseconds."""
        line = "%9.1f %s\n" % ((time.time() - self.started_at) * 1e3, text)
        with self.record_lock:
            if not self.record.closed:
                self.record.write(line)

    def say(self, text):
        """Writes one line to the record and to standard output."""
        self.note(text)
        print(text, flush=True)

    def start_child(self, target, *arguments):
        """Runs a function in a process of its own, which ends with the script at the latest."""
        child = multiprocessing.get_context("fork").Process(target=run_child, args=(target, arguments))
        child.daemon = True
        child.start()
        self.children.append(child)
        return child

    def clean_up(self):
        """Ends every process that was started here, by its id, and removes the temporary folder."""
        for child in self.children:
            if child.is_alive():
                child.kill()
                child.join()
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        with self.record_lock:
            if not self.record.closed:
                self.record.close()
        shutil.rmtree(self.temporary, ignore_errors=True)

    def leave(self, code, why):
        """Ends the script at once, from any thread."""
        try:
            self.say(why)
            self.clean_up()
        finally:
            os._exit(code)

    def run(self, play):
        """Runs the coroutine function `play`, which returns whether the rule held, and ends the script."""
        try:
            held = asyncio.run(play(self))
        except NotRun as problem:
            self.leave(NOT_RUN, "not run: %s" % problem)
        except BaseException as problem:  # any other error of the script itself
            self.leave(NOT_RUN, "not run: %s: %s" % (type(problem).__name__, problem))
        self.leave(HELD if held else BROKEN, "the rule held" if held else "THE RULE WAS BROKEN")

    def new_id(self):
        """Returns a fresh request id."""
        return "%016x" % self.random.getrandbits(64)


def run_child(target, arguments):
    """Runs `target` without what the script does at its end."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_DFL)
    target(*arguments)


def deploy_command(name):
    """Returns a command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as deploy_file:
        found = re.search(r'^%s *= *"(.*)"' % name, deploy_file.read(), re.MULTILINE)
    if not found:
        raise NotRun("the deploy file has no command %r" % name)
    return found.group(1)


def free_port():
    """Returns a port that was free just now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


# --- settings ---------------------------------------------------------------------------------------------

def request_class(name, effect, on_time_ms, deadline_ms, window_ms, credit):
    return {"name": name, "effect": effect, "group": "all", "window": window_ms * 1000, "credit": credit,
            "on_time": on_time_ms * 1000, "deadline": deadline_ms * 1000, "late_worth": 0.0, "stream": False}


def plan(name, rate, burst, factor, excess_cost):
    return {"name": name, "quota_rate": rate, "most_at_once": burst, "worth_factor": factor,
            "excess_cost": excess_cost, "extra_worth": 0.0, "concurrency": 0, "ceiling_rate": 0.0,
            "ceiling_burst": 0.0, "ceiling_slack": 0.0}


def settings(site, **changes):
    """Returns the settings of a node at a site: dakar-main as WIRE shows them, tema-gate by its site file."""
    document = {
        "family": "gate", "n_instances": 2, "me": 0, "zone": 0, "tier": 0, "quantum": 4000,
        "registry_mode": "push", "weights": "rough", "zones": ["dakar-dc1"], "kinds": ["small-2c"],
        "layers": ["sighting-api"], "clients": {"marks_retry": False},
        "classes": [request_class("site-tally", "safe", 750, 2000, 5000, 2.0),
                    request_class("checklist-save", "safe", 1000, 3000, 5000, 3.0),
                    request_class("sighting-submit", "keyed", 1200, 3000, 1500, 3.0)],
        "tariffs": [plan("volunteer", 0.62, 3.0, 0.55, 0.5), plan("club", 1.4, 5.0, 0.72, 0.5),
                    plan("reserve", 3.8, 21.0, 1.2, 0.8), plan("institute", 11.0, 17.0, 1.6, 1.0)],
        "bounds": {"cancel": True, "conn_idle": 30000000, "connect_timeout": 250000, "cpu_us_per_request": 0.0,
                   "cpu_us_per_s": 400000, "max_retry_after": 500000, "max_streams": 32, "most_held": 20000,
                   "peer_messages": False, "probing": True, "retry_after": True, "second_copies": False,
                   "try_limit": 4},
        "charges": {"late_fail": 0.03, "probe": 0.01, "waste": 0.03},
        "domain": {"call_price": 0.005, "cost_after": False, "count_wait": 30000, "largest": 1,
                   "may_count": True, "peer_intake": 0.0, "use_period": 0},
        "invariants": {"answer_slack": 16000, "ask_within": 10000000, "cold": 12000000, "cold_from": 0.21,
                       "drain_grace": 500000, "fall_multiple": 4.0, "tip_after": 3000000},
        "reporting": {"fields": ["utilization"], "how": "piggyback"},
    }
    if site == "tema-gate":
        document.update({
            "zones": ["quay", "yard"], "kinds": ["gate-2c"], "layers": ["berth-api"],
            "clients": {"marks_retry": True},
            "classes": [request_class("barrier-open", "unsafe", 400, 700, 0, 4.0),
                        request_class("queue-look", "safe", 300, 600, 5000, 1.0)],
            "tariffs": [plan("haulier", 0.8, 3.6, 0.55, 0.5), plan("line", 1.2, 5.0, 0.72, 0.5),
                        plan("customs", 3.8, 17.0, 1.2, 0.8), plan("pilot", 9.0, 18.0, 1.6, 1.0)],
        })
        document["bounds"].update({"conn_idle": 6000000, "retry_after": False, "try_limit": 2,
                                   "probing": False})
    document.update(changes)
    return document


def entry(server, status="up", zone="dakar-dc1", kind="small-2c", since_ms=0):
    """Returns the entry of an app server on the list of discovery."""
    return {"name": server.name, "address": "%s:%d" % (HOST, server.port), "zone": zone, "type": kind,
            "group": 1, "status": status, "weight": 1.0, "since_ms": since_ms}


# --- HTTP -------------------------------------------------------------------------------------------------

async def read_request(reader):
    """Reads one request. Returns its first line, headers and body, or None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = await reader.readline()
        if not header:
            return None
        if header in (b"\r\n", b"\n"):
            break
        name, _, value = header.decode("latin1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return line.decode("latin1").strip(), headers, body


class Answer:
    """What a client got: `status` is a number, or None if no whole answer came; `why` says then what did."""

    def __init__(self, status, headers=None, body=b"", why=""):
        self.status, self.headers, self.body, self.why = status, headers or {}, body, why

    def closes(self):
        return self.status is None or self.headers.get("connection", "").lower() == "close"


async def read_answer(reader):
    """Reads one answer to its last byte."""
    try:
        line = await reader.readline()
        if not line:
            return Answer(None, why="closed")
        headers = {}
        while True:
            header = await reader.readline()
            if not header:
                return Answer(None, why="incomplete")
            if header == b"\r\n":
                break
            name, _, value = header.decode("latin1").partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return Answer(int(line.split()[1]), headers, body)
    except asyncio.IncompleteReadError:
        return Answer(None, why="incomplete")
    except OSError:
        return Answer(None, why="reset")


def request_text(case_class, request_id, deadline_ms, account, plan_name, method="GET", body=b"", key=None,
                 spread=2):
    """Returns a client's request as the protocol page has it."""
    head = ("%s /%s?key=%016x HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: %s\r\nX-Class: %s\r\n"
            "X-Tariff: %s\r\nX-Deadline-Ms: %d\r\nX-Weight: units=1,spread=%d,first=0\r\n"
            % (method, case_class, account, request_id, case_class, plan_name, deadline_ms, spread))
    if key is not None:
        head += "Idempotency-Key: %s\r\n" % key
    if method == "POST":
        head += "Content-Length: %d\r\n" % len(body)
    return head.encode() + b"\r\n" + body


def set_nodelay(writer):
    writer.transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def reset(writer):
    """Resets a connection."""
    try:
        sock = writer.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
    except (OSError, AttributeError):
        pass


# --- peers ------------------------------------------------------------------------------------------------

class Counter:
    """The quota counter: INCRTTL over RESP2."""

    def __init__(self):
        self.totals = {}
        self.forgotten_at = {}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def add(self, name, amount, keep_ms):
        now = time.time()
        if self.forgotten_at.get(name, 0.0) <= now:
            self.totals[name] = 0.0
            self.forgotten_at[name] = now + min(max(keep_ms, 1), 60000) / 1e3
        self.totals[name] += amount
        return self.totals[name]

    async def serve(self, reader, writer):
        try:
            set_nodelay(writer)
            while True:
                line = await reader.readline()
                if not line:
                    break
                parts = []
                for _ in range(int(line[1:])):
                    length = int((await reader.readline())[1:])
                    parts.append((await reader.readexactly(length + 2))[:-2])
                if parts[0].upper() == b"INCRTTL":
                    total = b"%.7g" % self.add(parts[1], float(parts[2]), int(parts[3]))
                    writer.write(b"$%d\r\n%s\r\n" % (len(total), total))
                elif parts[0].upper() == b"PING":
                    writer.write(b"+PONG\r\n")
                else:
                    writer.write(b"+OK\r\n")
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Discovery:
    """Discovery: the whole list, and watches. `delay_s` is the time that it takes for each answer."""

    def __init__(self, case, entries, index, delay_s=0.0):
        self.case, self.index, self.delay_s = case, index, delay_s
        self.entries = {one["name"]: dict(one) for one in entries}
        self.changes = []
        self.changed = asyncio.Event()
        self.calls = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def change(self, *entries):
        self.index += 1
        for one in entries:
            if one["status"] == "removed":
                self.entries.pop(one["name"], None)
            else:
                self.entries[one["name"]] = dict(one)
            self.changes.append((self.index, dict(one)))
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_beyond(self, version, wait_s):
        until = time.time() + wait_s
        while self.index <= version and time.time() < until:
            try:
                await asyncio.wait_for(asyncio.shield(self.changed.wait()), max(0.0, until - time.time()))
            except asyncio.TimeoutError:
                pass

    async def serve(self, reader, writer):
        try:
            set_nodelay(writer)
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                target = request[0].split()[1]
                self.calls += 1
                self.case.note("discovery is asked: %s" % target)
                query = dict(part.split("=", 1) for part in target.partition("?")[2].split("&") if "=" in part)
                if "after" in query:
                    after = int(query["after"])
                    await self.wait_beyond(after, int(query["wait_ms"]) / 1e3)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if "after" in query:
                    latest = {one["name"]: one for index, one in self.changes if index > after}
                    answer = {"index": self.index, "snapshot": False, "endpoints": list(latest.values())}
                else:
                    answer = {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class AppServer:
    """An app server. It answers a request with a body that names the request, `work_s` after its last byte."""

    def __init__(self, case, name, work_s=0.03):
        self.case, self.name, self.work_s = case, name, work_s
        self.runs = []
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port, backlog=512, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def body_for(self, request_id):
        return ("answer of %s for %s\n" % (self.name, request_id)).encode()

    def answer_for(self, request_id):
        body = self.body_for(request_id)
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body

    async def answer(self, request, reader, writer):
        """Answers one request. A case replaces this to add its disruption."""
        request_id = request[1]["x-request-id"]
        self.ran(request_id)
        await asyncio.sleep(self.work_s)
        writer.write(self.answer_for(request_id))

    def ran(self, request_id):
        self.runs.append((time.time(), request_id))
        self.case.note("%s runs %s" % (self.name, request_id))

    async def serve(self, reader, writer):
        try:
            set_nodelay(writer)
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                if "x-request-id" not in request[1]:
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    continue
                await self.answer(request, reader, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class EdgeNode:
    """An edge node, started with the command of the deploy file."""

    def __init__(self, case, discovery, counter, known, node_settings, sockets=256, memory_mb=192):
        self.case = case
        self.port = free_port()
        self.path = os.path.join(case.temporary, "config-%d.json" % self.port)
        self.configuration = {
            "name": "n0", "listen": "%s:%d" % (HOST, self.port), "discovery": "%s:%d" % (HOST, discovery.port),
            "counter": "%s:%d" % (HOST, counter.port), "seed": "%016x" % case.random.getrandbits(64),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": {"index": discovery.index, "snapshot": True, "endpoints": known},
            "settings": node_settings,
        }
        self.write_configuration()

    def write_configuration(self):
        with open(self.path + ".new", "w") as new:
            json.dump(self.configuration, new)
        os.replace(self.path + ".new", self.path)

    async def start(self):
        program = os.path.join(ROOT, "target", "release", "edge-node")
        if not os.path.exists(program):
            raise NotRun("the program has not been built")
        environment = dict(os.environ, PROXY_NAME="n0", PROXY_LISTEN=self.configuration["listen"],
                           PROXY_DISCOVERY=self.configuration["discovery"], PROXY_CONFIG=self.path,
                           TMPDIR=self.case.temporary)
        self.log_path = os.path.join(self.case.temporary, "node-%d.log" % self.port)
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", deploy_command("run")], cwd=ROOT, env=environment,
                                            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.case.processes.append(self.process)
        until = time.time() + READY_TIME_S
        while time.time() < until and self.process.poll() is None:
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n")
                answer = await asyncio.wait_for(read_answer(reader), 2.0)
                writer.close()
                if answer.status == 200:
                    self.case.note("the edge node is ready, process %d" % self.process.pid)
                    return self
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.02)
        raise NotRun("the edge node is not ready: %s" % self.log_text()[-400:])

    def log_text(self):
        with open(self.log_path, errors="replace") as log:
            return log.read()

    def signal(self, number):
        self.process.send_signal(number)

    def has_crashed(self):
        return self.process.poll() is not None
