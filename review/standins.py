"""Small stand-ins for the clients, script hosts, event bus and platform of an activator, after the protocol pages.

Only the standard library is used. All traffic stays on loopback addresses, and every process that is started here is
ended by `Activator.kill` or `Run.close`.
"""

import asyncio
import json
import os
import pathlib
import re
import signal
import socket
import struct
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
SERVED, REFUSED, FAILED = 79, 66, 69
CODES = {SERVED: "served", REFUSED: "refused", FAILED: "failed"}


def now_ms():
    return int(time.time() * 1000)


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Record:
    """The lines of `record.txt`: time in milliseconds since the start, and what happened."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.began = time.monotonic()

    def line(self, *words):
        at = int((time.monotonic() - self.began) * 1000)
        self.file.write(f"{at:7d} " + " ".join(str(w) for w in words) + "\n")
        self.file.flush()


# ------------------------------------------------------------------------------------------------ configuration


def profile(name, effect, aim_ms=1500, give_up_ms=4000, window_ms=8000, scope="cell", importance=3.0):
    return {
        "Name": name, "Effect": effect, "AimUs": aim_ms * 1000, "GiveUpUs": give_up_ms * 1000, "Importance": importance,
        "LateWorth": 0.2, "DedupScope": scope, "WindowUs": window_ms * 1000, "Streamed": False,
    }


# Classes and limits as in the example of the pages.
PROFILES = [
    profile("check-score", "safe", aim_ms=2000, give_up_ms=5000, scope="all", window_ms=5000),
    profile("save-answers", "keyed", scope="cell", window_ms=8000, importance=5.0),
    profile("send-mail", "unsafe", scope="all", window_ms=5000),
]


def settings(profiles=None, **family):
    info = {
        "CountsAlike": True, "FreeLoads": 2.0, "IfCold": "miss", "KeepUs": 9_500_000, "LoadPeriodUs": 10_000_000,
        "LoadShare": 0.2, "MemoryMbByKind": [15936.0, 12160.0], "OrderTimeoutUs": 10_000_000, "PlacementCalls": True,
        "PriceOfIdle": 0.05, "SaysWarm": True,
    }
    info.update(family)
    return {
        "Clients": {"MarksRetry": True},
        "Customers": [{"Name": "kouterzorg", "Portion": 0.79, "QuotaPerS": 94.0},
                      {"Name": "scholen-leieland", "Portion": 0.21, "QuotaPerS": 25.0}],
        "Discovery": "automatic", "Family": "warm", "FamilyInfo": info, "GroupSize": 1,
        "Kinds": ["host-5c", "host-4c"],
        "Limits": {"Cancel": True, "ConnIdleUs": 30_000_000, "ConnectTimeoutUs": 250_000, "CpuUsPerRequest": 0.0,
                   "CpuUsPerS": 678_835, "MaxAttempts": 5, "MaxOpen": 27153, "MaxRetryAfterUs": 1_000_000,
                   "MayTell": False, "ParallelTries": False, "Probes": True, "RetryAfter": False, "StreamsPerConn": 32},
        "Ordinal": 0, "OverShareWorth": 0.2,
        "Prices": {"Connection": 0.0, "CrossZone": 0.0, "Discovery": 0.0, "Handshake": 0.0, "LateFail": 0.029,
                   "Moves": 0.0, "Origin": 0.075, "Peer": 0.007, "Probe": 0.0082, "Waste": 0.03},
        "Profiles": profiles or PROFILES,
        "Rules": {"AnswerSlackUs": 8000, "AskWithinUs": 10_000_000, "ColdFrom": 0.17, "ColdUs": 18_000_000,
                  "DrainGraceUs": 500_000, "FallMultiple": 4.0, "FallUs": 3_000_000},
        "Stage": 0, "Stats": {"Fields": ["utilization", "x1"], "How": "pull"}, "Tiers": ["script-hosts"],
        "WeightKind": "silent", "WorthBy": "work", "Zone": "gent-dc1", "Zones": ["gent-dc1"],
    }


def member(host, phase="active"):
    return {"id": host.id, "host_port": f"127.0.0.1:{host.port}", "locality": "gent-dc1", "flavor": "host-5c",
            "cell": host.cell, "phase": phase, "size": 1, "up_since_ms": 0}


def configuration(hosts, bus, listen, control, memory_mb=192, sockets=1024, conf=None, **more):
    return {
        "name": "n0", "listen": listen, "control": control, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}, "bus": f"127.0.0.1:{bus.port}",
        "known": {"offset": 1, "batch": [{"offset": 1, "topology": {
            "revision": 1, "complete": True, "members": [member(h) for h in hosts]}}]},
        "settings": conf or settings(), **more,
    }


# ---------------------------------------------------------------------------------------------------- event bus


class Bus:
    """Sends an empty frame each second, as the bus does while there is nothing new."""

    def __init__(self):
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            last = struct.unpack(">Q", await reader.readexactly(8))[0]
            while True:
                writer.write(struct.pack(">IQB", 9, max(last, 1), 0))
                await writer.drain()
                await asyncio.sleep(1)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


# ----------------------------------------------------------------------------------------------------- resolver


def dns_name(text):
    labels = text.rstrip(".").split(".")
    return b"".join(bytes([len(label)]) + label.encode() for label in labels) + b"\0"


class Resolver(asyncio.DatagramProtocol):
    """A DNS resolver that has the records of one DNS-SD service: PTR, SRV, TXT and A of each host."""

    SERVICE = "_script-host._tcp.hosts.test."
    A, PTR, TXT, SRV = 1, 12, 16, 33

    def __init__(self, hosts):
        self.records, self.port = {}, 0
        for host in hosts:
            instance, target = f"{host.id}.{self.SERVICE}", f"{host.id}.hosts.test."
            txt = f"cell={host.cell}".encode() if host.cell is not None else b""
            self.records.setdefault((self.SERVICE, self.PTR), []).append(dns_name(instance))
            self.records[instance, self.SRV] = [struct.pack(">HHH", 0, 0, host.port) + dns_name(target)]
            self.records[instance, self.TXT] = [bytes([len(txt)]) + txt]
            self.records[target, self.A] = [bytes([127, 0, 0, 1])]

    async def start(self):
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        self.port = transport.get_extra_info("sockname")[1]

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        at, labels = 12, []
        while data[at]:
            labels.append(data[at + 1:at + 1 + data[at]].decode())
            at += 1 + data[at]
        kind, name, question = struct.unpack(">H", data[at + 1:at + 3])[0], ".".join(labels).lower() + ".", data[12:at + 5]
        found = self.records.get((name, kind), [])
        answer = data[:2] + struct.pack(">HHHHH", 0x8180 if found else 0x8183, 1, len(found), 0, 0) + question
        for value in found:
            answer += dns_name(name) + struct.pack(">HHIH", kind, 1, 120, len(value)) + value
        self.transport.sendto(answer, address)


# ------------------------------------------------------------------------------------------------- script hosts


class Host:
    """A script host. `loaded` holds its functions; `on_call` may replace what a call does."""

    def __init__(self, record, number, cell=0, load_s=0.4, work_s=0.02, quiet=False):
        self.record, self.id, self.cell = record, f"s-{number:08x}", cell
        self.load_s, self.work_s, self.port = load_s, work_s, 0
        self.loaded, self.loading, self.runs = set(), {}, []
        self.on_call, self.on_order, self.quiet = None, None, quiet
        self.conns = []
        self.known = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    def die(self):
        """As when the process of the host dies: its connections are reset, and nobody listens any more."""
        self.say("dies")
        self.server.close()
        for conn in self.conns:
            conn.reset()

    def say(self, *words):
        if not self.quiet:
            self.record.line(f"host {self.id}", *words)

    async def _serve(self, reader, writer):
        conn = Connection(writer)
        self.conns.append(conn)
        try:
            while line := await reader.readline():
                words = line.decode().strip().split(" ")
                if words[0] == "FN":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    fields = dict(f.split("=", 1) for f in words[2].split(",")) if words[2] != "-" else {}
                    call = Call(self, conn, words[1], fields, body)
                    self.say("received", "FN", words[1], words[2], body.decode())
                    conn.calls[words[1]] = asyncio.create_task(self._call(call))
                elif words[0] == "KILL":
                    self.say("received", "KILL", words[1])
                    task = conn.calls.pop(words[1], None)
                    if task:
                        task.cancel()
                elif words[0] == "SPAWN":
                    fields = dict(f.split("=", 1) for f in words[2].split(","))
                    self.say("received", "SPAWN", words[1], words[2])
                    asyncio.create_task(self._order(conn, words[1], fields["item"], int(fields["copies"])))
                elif words[0] in ("HELO", "TOP"):
                    conn.send(f"{words[1]} alive - 0\r\n\r\n")
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            for task in conn.calls.values():
                task.cancel()
            writer.close()

    async def _call(self, call):
        try:
            function = call.fields.get("item")
            if self.on_call and await self.on_call(call):
                return
            if self.known is not None and function not in self.known:
                return call.answer("500")
            if function in self.loading:
                await asyncio.shield(self.loading[function])
            if function not in self.loaded:
                return call.answer("404")
            await self.run(call)
            call.answer("200", "tell=warm", b"done " + call.body)
        finally:
            call.conn.calls.pop(call.id, None)

    async def run(self, call, work_s=None):
        """The script runs: its effect happens now."""
        self.runs.append((now_ms(), call.id, call.fields.get("cls"), call.body.decode()))
        self.say("runs", call.fields.get("cls"), call.id, call.body.decode())
        await asyncio.sleep(self.work_s if work_s is None else work_s)

    async def _order(self, conn, tag, function, copies):
        if self.on_order:
            await self.on_order(tag, function)
        if copies > 0 and function not in self.loaded:
            if function not in self.loading:
                self.loading[function] = asyncio.get_running_loop().create_future()
                asyncio.get_running_loop().call_later(self.load_s, self._stands, function)
            await asyncio.shield(self.loading[function])
        conn.send(f"{tag} 200 copies={int(function in self.loaded)} 0\r\n\r\n")

    def _stands(self, function):
        self.loaded.add(function)
        self.say("holds", function)
        self.loading.pop(function).set_result(None)


class Connection:
    def __init__(self, writer):
        self.writer, self.calls = writer, {}

    def send(self, text, body=b""):
        try:
            self.writer.write(text.encode() + body)
        except OSError:
            pass

    def reset(self):
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class Call:
    def __init__(self, host, conn, name, fields, body):
        self.host, self.conn, self.id, self.fields, self.body = host, conn, name, fields, body

    def answer(self, word, fields="-", body=b""):
        self.host.say("answers", self.id, word)
        self.conn.send(f"{self.id} {word} {fields} {len(body)}\r\n", body + b"\r\n")


# ------------------------------------------------------------------------------------------------------ clients


def frame(kind, stream, payload=b""):
    return struct.pack("<IBI", 5 + len(payload), kind, stream) + payload


def request(stream, fields, body):
    out = bytes([len(fields)])
    for name, value in fields.items():
        value = str(value).encode()
        out += bytes([len(name)]) + name.encode() + struct.pack("<H", len(value)) + value
    return frame(1, stream, out + body)


class Client:
    """One connection of a client. `answers` holds the answers by stream, in the order of their arrival."""

    def __init__(self, record, quiet=False):
        self.record, self.quiet = record, quiet
        self.stream, self.answers, self.sent, self.waiting = 0, {}, {}, {}
        self.ready_code, self.closed, self.asked_to_leave = None, asyncio.Event(), False

    async def connect(self, port):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.task = asyncio.create_task(self._read())
        return self

    async def _read(self):
        try:
            while True:
                length = struct.unpack("<I", await self.reader.readexactly(4))[0]
                data = await self.reader.readexactly(length)
                kind, stream = struct.unpack("<BI", data[:5])
                if kind == 2:
                    self._answered(stream, data[5], self._body(data[6:]))
                elif kind == 5:
                    self.ready_code = data[5]
                elif kind == 6:
                    self.asked_to_leave = True
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.closed.set()
            for future in self.waiting.values():
                if not future.done():
                    future.set_result(None)

    @staticmethod
    def _body(rest):
        count, at = rest[0], 1
        for _ in range(count):
            at += 1 + rest[at]
            at += 2 + struct.unpack("<H", rest[at:at + 2])[0]
        return rest[at:]

    def _answered(self, stream, code, body):
        self.answers.setdefault(stream, []).append((code, body))
        if not self.quiet:
            self.record.line("client", "gets", self.sent.get(stream, f"stream {stream}"), CODES.get(code, code), body.decode())
        future = self.waiting.get(stream)
        if future and not future.done():
            future.set_result((code, body))

    def send(self, cls, function, body, timeout_ms=4000, name=None, tenant="kouterzorg", key=None):
        """Sends a request and returns a future of its first answer; `None` if the connection ends first."""
        self.stream += 1
        name = name or os.urandom(8).hex()
        fields = {"kind": cls, "req": name, "timeout": timeout_ms, "owner": tenant, "subject": function, "ms": "8.2",
                  "props": "memory_mb:512;lanes:2"}
        if key:
            fields["opkey"] = key
        self.sent[self.stream] = f"{cls} {name}"
        if not self.quiet:
            self.record.line("client", "sends", cls, name, "function", function, body.decode())
        future = asyncio.get_running_loop().create_future()
        self.waiting[self.stream] = future
        self.writer.write(request(self.stream, fields, body))
        return future

    async def ready(self):
        self.ready_code = None
        self.writer.write(frame(4, self.stream + 1_000_000, b"\0"))
        for _ in range(100):
            if self.ready_code is not None:
                return self.ready_code == SERVED
            await asyncio.sleep(0.01)
        return False


# ----------------------------------------------------------------------------------------------------- platform


def deploy_command():
    """The command `run` of the deploy file."""
    return re.search(r'^run = "([^"]*)"', (ROOT / "deploy/balancer.toml").read_text(), re.M)[1]


class Activator:
    """A process of the program, started with the `run` command of the deploy file."""

    def __init__(self, record, folder, name, config, listen, control, tmp):
        """`config` is the platform's configuration, or the text of an operator's file."""
        self.record, self.name, self.listen, self.control = record, name, listen, control
        operator = isinstance(config, str)
        self.path = pathlib.Path(folder) / (f"{name}.toml" if operator else f"{name}.json")
        self.write(config)
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        self.log = open(self.log_path, "wb")
        env = {"PATH": os.environ.get("PATH", ""), "TMPDIR": str(tmp)}
        if not operator:
            env |= {"EDGE_NAME": "n0", "EDGE_LISTEN": listen, "EDGE_CONTROL": control, "EDGE_CONFIG": str(self.path)}
        command = f"{deploy_command()} {self.path}" if operator else deploy_command()
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=env, stdout=self.log, stderr=self.log,
                                        stdin=subprocess.DEVNULL)
        record.line("platform", "starts", name)

    def write(self, config):
        """Replaces the configuration file, as a whole."""
        new = self.path.with_suffix(".new")
        new.write_text(config if isinstance(config, str) else json.dumps(config))
        os.replace(new, self.path)

    def signal(self, number):
        self.record.line("platform", f"sends {signal.Signals(number).name} to", self.name)
        self.process.send_signal(number)

    def rss_mb(self, key="VmRSS"):
        try:
            for line in open(f"/proc/{self.process.pid}/status"):
                if line.startswith(key + ":"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return None

    def logged(self):
        return self.log_path.read_text(errors="replace")

    async def operate(self, method, path, body=""):
        host, port = self.control.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
        data = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        head, _, text = data.partition(b"\r\n\r\n")
        return int(head.split()[1]), text.decode()

    async def wait_ready(self, port, limit=10):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} has ended: {self.logged()[-500:]}")
            try:
                client = await Client(self.record, quiet=True).connect(port)
                if await client.ready():
                    client.writer.close()
                    return
                client.writer.close()
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready after {limit} s: {self.logged()[-500:]}")

    def kill(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


class CannotRun(Exception):
    pass


class Run:
    """One run of a case: a record, a temporary folder and the processes started in it."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.record = Record(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temporary = tempfile.TemporaryDirectory(prefix="wheellink-review-")
        self.tmp = pathlib.Path(self.temporary.name) / "tmp"
        self.tmp.mkdir()
        self.activators = []
        self.record.line("run", "with the disruption" if self.trouble else "without the disruption")

    def start(self, name, config, listen, control):
        activator = Activator(self.record, self.temporary.name, name, config, listen, control, self.tmp)
        self.activators.append(activator)
        return activator

    def close(self):
        for activator in self.activators:
            activator.kill()
            log = activator.logged().splitlines()
            shown = log if len(log) <= 60 else log[:30] + ["..."] + log[-30:]
            for line in shown:
                self.record.line(f"log of {activator.name}:", line)
        self.temporary.cleanup()


KEPT, BROKEN, COULD_NOT_RUN = 0, 10, 2


def main(folder, case):
    """Runs the coroutine `case(run)`, which returns what broke the rule, if anything.

    The status is 0 if the rule was kept and 10 if it was broken. With any other one, as of an error of Python, the case
    could not run; `run.sh` tells them apart.
    """
    run = Run(folder)

    async def judged():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.set_exception_handler(lambda *_: None)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        code = COULD_NOT_RUN
        try:
            broken = await asyncio.wait_for(case(run), 110)
            code = BROKEN if broken else KEPT
            text = f"rule broken: {broken}" if broken else "rule kept"
        except BaseException as e:
            text = f"the case could not run: {e!r}"
        finally:
            run.close()
        run.record.line("verdict:", text)
        try:
            print(text, flush=True)
        except OSError:
            pass
        # The stand-ins end with this process; their open connections need no orderly end.
        os._exit(code)

    asyncio.run(judged())
