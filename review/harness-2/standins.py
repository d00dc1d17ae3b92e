"""Stand-ins for the platform's store, its runners and its clients, and a launcher for entry hosts.

Everything runs on loopback addresses and the real clock. The stand-ins follow PROTOCOL.md; where the
page is silent, they behave like a sound store, runner or client.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
DAEMON = ROOT / "target" / "bin" / "linnetlaned"

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """The log of a run: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def note(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.3f} {what} {text}\n")
        self.file.flush()


# ---- HTTP ----


class Message:
    def __init__(self, start, fields, body=b""):
        self.start = start
        self.fields = fields
        self.body = body

    def field(self, name, default=None):
        return next((value for key, value in self.fields if key.lower() == name.lower()), default)


async def read_head(reader):
    """Returns a message without its body; nothing if the connection ended before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if line]
    return Message(lines[0], fields)


async def read_pieces(reader, message):
    """Yields the pieces of a body. Raises if the connection ends before the body does."""
    if "chunked" in (message.field("Transfer-Encoding") or "").lower():
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return
            yield piece[:-2]
    else:
        length = int(message.field("Content-Length") or 0)
        if length:
            yield await reader.readexactly(length)


async def read_body(reader, message):
    return b"".join([piece async for piece in read_pieces(reader, message)])


def encode_response(status, fields=(), body=b"", chunked=False):
    head = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in fields]
    head.append("Transfer-Encoding: chunked" if chunked else f"Content-Length: {len(body)}")
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


def encode_chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class Server:
    """Serves HTTP/1.1 on free loopback ports. Subclasses define `serve`."""

    def __init__(self):
        self.listeners = []
        self.writers = set()

    async def listen(self):
        """Opens one more port and returns its address."""
        address = None

        async def connected(reader, writer):
            await self.serve_connection(reader, writer, address)

        listener = await asyncio.start_server(connected, "127.0.0.1", 0, limit=1 << 20)
        self.listeners.append(listener)
        address = "127.0.0.1:%d" % listener.sockets[0].getsockname()[1]
        return address

    async def serve_connection(self, reader, writer, address):
        self.writers.add(writer)
        try:
            while message := await read_head(reader):
                message.body = await read_body(reader, message)
                method, target, _ = message.start.split(" ", 2)
                if not await self.serve(method, target, message, reader, writer, address):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        for listener in self.listeners:
            listener.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def send(writer, data):
    writer.write(data)
    await writer.drain()


# ---- The platform's store ----


class Store(Server):
    ANSWER_TIME = 0.004

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.era = 1
        self.changed = asyncio.Event()
        # The addresses at which calls are answered 503, and those that are cut off.
        self.refused, self.cut = set(), set()
        self.last_lease = 0

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        text = base64.b64encode(value if isinstance(value, bytes) else value.encode()).decode()
        item = {"key": key, "value": text, "revision": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self.note_change(item)

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.note_change({"key": key, "revision": self.revision, "deleted": True})

    def note_change(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        now = time.monotonic()
        for lease in [one for one, (_, until) in self.leases.items() if until <= now]:
            del self.leases[lease]
            for key in [key for key, item in self.items.items() if item["lease"] == lease]:
                self.remove(key)

    def value_of(self, key):
        self.expire()
        item = self.items.get(key)
        return base64.b64decode(item["value"]).decode() if item else None

    async def serve(self, method, target, message, reader, writer, address):
        await asyncio.sleep(self.ANSWER_TIME)
        if address in self.cut:
            # What was sent during the cut is lost; only the caller can end the connection.
            await reader.read()
            return False
        if address in self.refused:
            await send(writer, encode_response(503, [("Store-Era", self.era)]))
            return True
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/-/kv-watch":
            status, body = await self.watch(query, address)
        else:
            self.expire()
            status, body = self.answer(method, url.path, query, json.loads(message.body or b"{}"))
        fields = [("Content-Type", "application/json"), ("Store-Era", self.era)]
        await send(writer, encode_response(status, fields, json.dumps(body).encode()))
        return True

    def answer(self, method, path, query, body):
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "at": self.revision}) if item else (404, {"at": self.revision})
        if path == "/-/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(query["prefix"]) and key > query.get("after", ""))
            page = [self.items[key] for key in keys[:50]]
            return 200, {"items": page, "has_more": len(keys) > 50, "at": self.revision}
        if path == "/-/kv-txn":
            return self.transact(body)
        if path == "/-/kv-lease":
            self.last_lease += 1
            self.leases[self.last_lease] = (body["ttl_ms"], time.monotonic() + body["ttl_ms"] / 1000)
            return 200, {"lease": self.last_lease, "ttl_ms": body["ttl_ms"]}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        ttl = self.leases[lease][0]
        self.leases[lease] = (ttl, time.monotonic() + (0 if method == "DELETE" else ttl / 1000))
        self.expire()
        return 200, {"ttl_ms": ttl}

    def transact(self, body):
        expected = body.get("expect", [])
        current = lambda key: self.items[key]["revision"] if key in self.items else 0
        if any(current(row["key"]) != row["revision"] for row in expected):
            return 412, {"items": [self.items[row["key"]] for row in expected if row["key"] in self.items]}
        if any(row.get("lease", 0) and row["lease"] not in self.leases for row in body.get("writes", [])):
            return 404, {}
        for row in body.get("writes", []):
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body.get("deletes", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    async def watch(self, query, address):
        after, until = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            self.expire()
            if address in self.cut:
                await asyncio.sleep(60)
            if address in self.refused:
                return 503, {}
            events = [event for event in self.history
                      if event["revision"] > after and event["key"].startswith(query["prefix"])]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.2))
            except asyncio.TimeoutError:
                pass


# ---- Runners ----


class Runner(Server):
    """A runner of a service: an engine with a stage, or a plain one."""

    HEARTBEAT = 1.2
    # How old the values of a report are, and how long a change of the stage takes.
    REPORT_LAG = 0.5
    SWITCH_S = 6.0
    # When an order that is left unanswered is carried out.
    LATE_S = 4.0

    def __init__(self, record, store, name, service, stage=None, version="v1", zone="zone-a",
                 started_ago=0.0, work=0.03, prefill_time=0.1, events=70, event_interval=0.02,
                 hold_s=2.0, handle_s=0.5):
        super().__init__()
        self.record, self.store, self.name, self.service = record, store, name, service
        self.stage, self.version, self.zone = stage, version, zone
        self.born = int((time.time() - started_ago) * 1000)
        self.work, self.prefill_time = work, prefill_time
        self.events, self.event_interval = events, event_interval
        self.hold_s, self.handle_s = hold_s, handle_s
        self.state, self.sequence, self.next_id = "ready", 0, 0
        # Orders that arrived, as (time, holder, fence), and the times at which they were accepted.
        self.orders, self.accepted = [], []
        self.dark = False
        self.ended = False
        # The number of orders that it leaves unanswered and carries out late.
        self.leaves_unanswered = 0
        # When the store accepted that it drains.
        self.drained_at = None
        self.arrivals = []
        self.holds, self.handles = {}, {}

    async def start(self):
        self.address = await self.listen()
        self.write_entry()
        self.heartbeat = asyncio.create_task(self.beat())
        return self

    async def beat(self):
        while True:
            await asyncio.sleep(self.HEARTBEAT)
            if not self.dark and not self.ended:
                self.write_entry()

    def write_entry(self):
        self.sequence += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone,
                 "version": self.version, "slots": 32, "state": self.state, "cold_remaining_ms": 0,
                 "sequence": self.sequence, "born": self.born}
        if self.stage:
            entry["stage"] = self.stage
        self.store.put(f"servers/{self.name}", json.dumps(entry))

    def drain(self):
        self.state = "draining"
        self.write_entry()
        self.drained_at = time.monotonic()
        self.record.note("store accepted draining", runner=self.name)

    def end(self):
        """Ends the process: its entry is removed, and its connections break off."""
        self.ended = True
        self.heartbeat.cancel()
        self.store.remove(f"servers/{self.name}")
        self.stop()
        self.record.note("runner ended", runner=self.name)

    def new_id(self, letter):
        self.next_id += 1
        return f"{letter}{self.name}{self.next_id}"

    async def serve_connection(self, reader, writer, address):
        if self.dark:
            # A new connection isn't established; one that was open before falls silent.
            writer.transport.abort()
            return
        await super().serve_connection(reader, writer, address)

    async def be_dark(self):
        while self.dark:
            await asyncio.sleep(0.02)

    async def serve(self, method, target, message, reader, writer, address):
        request = message.field("Request-Id", "")
        await self.be_dark()
        expected = message.field("Expect-Instance")
        if expected and expected != self.name:
            await send(writer, encode_response(421, [("Not-Executed", 1), ("Request-Id", request)]))
            return True
        if target == "/-/order" and self.leaves_unanswered > 0:
            self.leaves_unanswered -= 1
            await self.carry_out_late(json.loads(message.body))
            return False
        if target.startswith("/-/"):
            status, body = self.control(method, target, message)
            fields = [("Content-Type", "application/json")] + self.announcements()
            fields += [("Not-Executed", 1)] if status == 503 else []
            await send(writer, encode_response(status, fields, json.dumps(body).encode()))
            return True
        staged = message.field("Serving-Stage") == "prefill"
        if self.stage and staged != (self.stage == "prefill"):
            await send(writer, encode_response(421, [("Not-Executed", 1), ("Request-Id", request)]))
            return True
        self.arrivals.append((time.monotonic(), request, staged))
        self.record.note("request reaches runner", runner=self.name, id=request,
                         step="prefill" if staged else "run", state=self.state)
        if staged:
            return await self.prefill(request, writer)
        if self.stage:
            return await self.stream(request, message, writer)
        return await self.run(request, writer)

    def announcements(self):
        return [("Server-Leaving", 1)] if self.state == "draining" else []

    def control(self, method, target, message):
        if target == "/-/hold-take":
            hold = self.new_id("h")
            ttl = json.loads(message.body)["ttl_ms"] / 1000
            self.holds[hold] = time.monotonic() + min(ttl, self.hold_s)
            self.record.note("reserves", runner=self.name, hold=hold)
            return 200, {"hold": hold}
        now = time.monotonic()
        if target == "/-/report":
            shown = [at for at in self.accepted if at <= now - self.REPORT_LAG]
            busy = any(now - self.REPORT_LAG < at + self.SWITCH_S for at in shown)
            return 200, {"stage": self.stage, "busy": busy, "sequence": len(shown), "queued": 0,
                         "active": 0, "models": []}
        if target == "/-/order":
            return self.order(json.loads(message.body), now)
        return 200, {}

    async def carry_out_late(self, order):
        """Gives no answer to an order, and carries it out seconds later."""
        self.orders.append((time.monotonic(), order["holder"], order["fencing_token"]))
        self.record.note("order left unanswered", runner=self.name, holder=order["holder"],
                         fence=order["fencing_token"], stage=order["stage"])
        await asyncio.sleep(self.LATE_S)
        self.decide(order, time.monotonic())

    def order(self, order, now):
        self.orders.append((now, order["holder"], order["fencing_token"]))
        return self.decide(order, now)

    def decide(self, order, now):
        is_busy = self.accepted and now < self.accepted[-1] + self.SWITCH_S
        other = "expect" in order and order["expect"] != len(self.accepted)
        status = 409 if is_busy or other else 202
        self.record.note("order decided", runner=self.name, holder=order["holder"],
                         fence=order["fencing_token"], stage=order["stage"], status=status)
        if status == 202:
            self.accepted.append(now)
            asyncio.get_running_loop().call_later(self.SWITCH_S, self.switch, order["stage"])
        return status, {}

    def switch(self, stage):
        self.stage = stage
        if not self.ended:
            self.write_entry()

    async def prefill(self, request, writer):
        await asyncio.sleep(self.prefill_time)
        await self.be_dark()
        body = json.dumps({"handle": self.new_id("k"), "tokens": 5200, "version": 1}).encode()
        fields = [("Content-Type", "application/json"), ("Request-Id", request)]
        await send(writer, encode_response(200, fields + self.announcements(), body))
        return True

    def event(self, request, number):
        return f"id: {number}\ndata: {request}.{number}@{self.version}\n\n".encode()

    async def stream(self, request, message, writer):
        first = int(message.field("Last-Event-Id") or 0) + 1
        self.record.note("runs", runner=self.name, id=request, version=self.version, first_event=first)
        fields = [("Content-Type", "text/event-stream"), ("Request-Id", request),
                  ("Response-Stamp", f"s.{self.name}.{request}")]
        await send(writer, encode_response(200, fields + self.announcements(), chunked=True))
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_interval)
            await self.be_dark()
            await send(writer, encode_chunk(self.event(request, number)))
        await send(writer, b"0\r\n\r\n")
        return True

    async def run(self, request, writer):
        await asyncio.sleep(self.work)
        fields = [("Request-Id", request), ("Response-Stamp", f"s.{self.name}.{request}"),
                  ("Server-Load", "1,0,6")] + self.announcements()
        await send(writer, encode_response(200, fields, b"x" * 800))
        return True


# ---- Clients ----


class Answer:
    def __init__(self):
        self.status, self.fields, self.body, self.complete = 0, [], b"", False

    def field(self, name, default=None):
        return next((value for key, value in self.fields if key.lower() == name.lower()), default)

    def events(self):
        """Returns the complete events as (id, data) pairs."""
        found = []
        for block in self.body.decode("latin-1").split("\n\n")[:-1]:
            lines = dict(line.split(": ", 1) for line in block.split("\n") if ": " in line)
            found.append((int(lines["id"]), lines["data"]))
        return found


async def call(address, target, fields, body=b"x", method="POST", on_piece=None):
    """Sends a request on a new connection. Never raises; a broken answer isn't `complete`."""
    answer = Answer()
    host, port = address.split(":")
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
        head = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields]
        head.append(f"Content-Length: {len(body)}")
        await send(writer, "\r\n".join(head).encode() + b"\r\n\r\n" + body)
        message = await read_head(reader)
        if message is None:
            return answer
        answer.status, answer.fields = int(message.start.split()[1]), message.fields
        async for piece in read_pieces(reader, message):
            answer.body += piece
            if on_piece:
                on_piece(answer)
        answer.complete = True
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        pass
    finally:
        if writer:
            writer.close()
    return answer


# ---- Entry hosts ----


def free_ports(count):
    """Returns free ports below the usual range of ephemeral ports, so that no connection takes them."""
    found = []
    while len(found) < count:
        port = random.randrange(20_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                found += [port] if port not in found else []
            except OSError:
                pass
    return found


class Host:
    """An entry host, started as the deploy file does, with settings as the template renders them."""

    def __init__(self, site, name, zone, store_address):
        self.site, self.name, self.zone, self.store_address = site, name, zone, store_address
        callers, operators, peers = (f"127.0.0.1:{port}" for port in free_ports(3))
        self.callers, self.operators, self.peers = callers, operators, peers
        self.file = pathlib.Path(site.folder) / f"{name}.toml"
        self.process = None

    def start(self, first=False):
        self.file.write_text(f"""host = "{self.name}"
data_centre = "{self.zone}"
processor_share = 0.25

[listen]
callers = "{self.callers}"
operators = "{self.operators}"
peers = "{self.peers}"

[coordination]
address = "{self.store_address}"
order_lease = "3000ms"
first_start = {str(first).lower()}

[retries]
ratio = 0.2
window = "10s"
slack = 54

[changes]
applied_within = "2000ms"

[leaving]
grace = "8s"
""", encoding="utf-8")
        log = open(pathlib.Path(self.site.folder) / f"{self.name}.log", "ab")
        self.process = subprocess.Popen([str(DAEMON), "--router", str(self.file)], stdout=log,
                                        stderr=log, cwd=ROOT)
        self.site.record.note("host started", host=self.name, pid=self.process.pid)

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.site.record.note("host killed", host=self.name)

    async def stop(self):
        """Stops the process as the platform does: SIGTERM, and SIGKILL after the grace time."""
        self.process.send_signal(signal.SIGTERM)
        self.site.record.note("host gets SIGTERM", host=self.name)
        until = time.monotonic() + 8.0
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.kill()
        self.site.record.note("host ended", host=self.name, status=self.process.returncode)

    async def ready(self):
        fields = [("Host", "balancer")]
        for _ in range(150):
            if (await call(self.operators, "/-/readiness", fields, b"", "GET")).status == 200:
                self.site.record.note("host ready", host=self.name)
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} is not ready")


class Site:
    """A small deployment: a store, runners and hosts. Stops all that it started."""

    def __init__(self, record):
        self.record = record
        self.store = Store(record)
        self.folder = tempfile.mkdtemp(prefix="linnetlane-review-")
        self.runners, self.hosts = [], []

    async def add_runner(self, name, service, stage=None, **options):
        runner = await Runner(self.record, self.store, name, service, stage, **options).start()
        self.runners.append(runner)
        return runner

    async def add_host(self, name, zone, first=True):
        host = Host(self, name, zone, await self.store.listen())
        self.hosts.append(host)
        host.start(first)
        return host

    def stop(self):
        for host in self.hosts:
            if host.process and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
        for server in [*self.runners, self.store]:
            server.stop()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version=3, objective_ms=900, drop=()):
    """The operator's configuration, with the routes and bounds of a small site."""
    def route(prefix, kind, service, attempts, timeout_ms, objective, **more):
        return {"name": prefix, "hostname": "a.example", "prefix": prefix, "kind": kind,
                "timeout_ms": timeout_ms, "target_latency_ms": objective, "priority": 1,
                "service": service, "max_attempts": attempts, **more}
    stream = {"session_affinity": True, "gap_aim_ms": 300}
    engine = {"slots": 32, "kv_cache_tokens": 75851, "hold_ms": 2000, "handle_ttl_s": 0.5,
              "stage_switch_s": 6.0}
    routes = [
        route("/audit/", "streaming", "llm", 1, 14000, objective_ms, resumable=False, **stream),
        route("/review/", "streaming", "llm", 2, 14000, objective_ms, resumable=True, **stream),
        route("/lodge/", "non_idempotent", "app", 1, 1200, 150),
        route("/lookup/", "idempotent", "app", 2, 1200, 150),
    ]
    return json.dumps({
        "version": version, "routes": [one for one in routes if one["prefix"] not in drop],
        "services": [{"name": "llm", "max_connections": 230, "engine": engine},
                     {"name": "app", "max_connections": 100}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000}})


def stream_fields(request, deadline_ms=14000, **more):
    fields = [("Host", "a.example"), ("Request-Id", request), ("Deadline-Ms", deadline_ms),
              ("Model", "m"), ("Token-Counts", "5200,70"),
              ("Prompt-Prefix", f"5c1e07a2:200,{request}:5000")]
    return fields + [(name.replace("_", "-"), value) for name, value in more.items()]


def run(folder, scenario):
    """Runs `scenario(site, trouble)` and exits with what it returns: HELD, BROKEN or NOT_RUN."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def guarded():
        # Cancelled connections are no errors.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        for ending in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(ending, asyncio.current_task().cancel)
        site = Site(record)
        try:
            return await asyncio.wait_for(scenario(site, trouble), 115)
        except (RuntimeError, OSError, asyncio.TimeoutError, asyncio.CancelledError) as error:
            record.note("the case could not run", error=repr(error))
            return NOT_RUN
        finally:
            site.stop()

    result = asyncio.run(guarded()) if DAEMON.exists() else NOT_RUN
    record.note("result", exit=result)
    print({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[result])
    sys.stdout.flush()
    os._exit(result)
