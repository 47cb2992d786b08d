"""Stand-ins of the users' platform for the review's scripts: machines, operator, workers, callers.

The programs are started as separate processes with the commands of ``deploy/system.toml``. Each
machine is an address of the loopback range. Only the standard library is used here.
"""

import asyncio
import json
import os
import random
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "letters.example"
KEY = "stand-in-key-1"
ZONES = ("town-hall", "annex", "kolonnawa")
PORTS = 20
HELD, BROKEN, NOT_RUN = 0, 1, 2
BOUNDS = """seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
rollback_slack_ms = 250
stretch_ms = 5000
strict_revoke = false
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 54
recover_s = 12
pass_ms = 120
reuse_window_s = 10
settle_ms = 1500
ttl_max_s = 5
"""


def has_trouble():
    """Return whether the run shall contain the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Write what was sent, answered and run to ``record.txt`` beside the script."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def say(self, *words):
        """Write one line with the time since the start, in seconds."""
        line = f"{time.monotonic() - self._began:8.3f} {' '.join(str(word) for word in words)}"
        self._file.write(line + "\n")
        self._file.flush()

    def tell(self, *words):
        """Write one line here and to the standard output."""
        self.say(*words)
        print(*words, flush=True)


class Answer:
    """Hold what a caller got; ``status`` is 0 where no head came."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_whole = False
        self.error = ""


def free_port():
    """Return the first of some ports that are free, as far as one can tell."""
    with socket.socket() as probe:
        probe.bind(("127.0.3.1", 0))
        return min(probe.getsockname()[1], 65000 - PORTS)


class Machine:
    """Name one machine of the system; ``role`` is a role of the deploy file."""

    def __init__(self, name, role, ip, zone):
        self.name, self.role, self.ip, self.zone = name, role, ip, zone
        self.process = None


class Fleet:
    """Run the system's programs, and speak to them as the operator."""

    def __init__(self, record, cores=3, fronts=3):
        self.record = record
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        self.port = free_port()
        self.piped = set()
        self._pipe_by_name = {}
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        self._roles = deploy["roles"]
        self.cores = [
            Machine(f"core-{n}", "control", f"127.0.3.{n}", ZONES[n % 3])
            for n in range(1, cores + 1)
        ]
        self.fronts = [
            Machine(f"front-{n}", "entry", f"127.0.4.{n}", ZONES[n % 3])
            for n in range(1, fronts + 1)
        ]

    async def start(self):
        """Start all machines for the first time."""
        for machine in (*self.cores, *self.fronts):
            await self.start_machine(machine, first_start=True)

    async def start_machine(self, machine, first_start=False):
        """Start a machine's program with the command of the deploy file."""
        role = self._roles[machine.role]
        path = self._write_settings(machine, first_start)
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment |= role.get("env", {})
        environment["CRANBERRYWALL_CONFIG"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        words = role["run"].split()
        if words[0] == "python3":
            words[0] = sys.executable
        log = self._open_log(machine)
        machine.process = await asyncio.create_subprocess_exec(
            *words,
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record.say("started", machine.name, "pid", machine.process.pid)

    def _open_log(self, machine):
        """Return what a machine's program writes to: a file, or a pipe that is copied to one."""
        file = (self.folder / f"{machine.name}.log").open("ab")
        if machine.name not in self.piped:
            return file
        reading, writing = os.pipe()
        self._pipe_by_name[machine.name] = reading, file
        self.read_log(machine)
        return os.fdopen(writing, "wb")

    def read_log(self, machine):
        """Read a machine's log from its pipe, from now on."""
        reading, file = self._pipe_by_name[machine.name]
        loop = asyncio.get_running_loop()

        def copy():
            data = os.read(reading, 65536)
            file.write(data)
            file.flush()
            if not data:
                loop.remove_reader(reading)

        loop.add_reader(reading, copy)

    def stop_reading_log(self, machine):
        """Read nothing more of a machine's log until ``read_log``."""
        asyncio.get_running_loop().remove_reader(self._pipe_by_name[machine.name][0])

    async def kill(self, machine):
        """End a machine's process at once."""
        if machine.process is not None and machine.process.returncode is None:
            machine.process.kill()
            await machine.process.wait()
            self.record.say("killed", machine.name)

    async def stop(self):
        """End every process that was started here."""
        for machine in (*self.cores, *self.fronts):
            await self.kill(machine)
        self._folder.cleanup()

    def log_of(self, machine):
        """Return what a machine's program has written."""
        return (self.folder / f"{machine.name}.log").read_text("utf-8", errors="replace")

    def control(self, machine):
        """Return where a core machine takes the operator's and the workers' calls."""
        return machine.ip, self.port + 10

    def front(self, machine):
        """Return where a front machine takes callers."""
        return machine.ip, self.port + 11

    def _write_settings(self, machine, first_start):
        seeds = [f"{core.ip}:{self.port + 10}" for core in self.cores[:3]]
        is_core = machine.role == "control"
        lines = [
            f'node = "{machine.name}"',
            f'role = "{machine.role}"',
            f'class = "{"core" if is_core else "front"}"',
            f'serves = {json.dumps(self._roles[machine.role]["serves"])}',
            f'ip = "{machine.ip}"',
            f'zone = "{machine.zone}"',
            'region = "colombo"',
            f"port_range = [{self.port}, {self.port + 9}]",
            f"seeds = {json.dumps(seeds)}",
            f"first_start = {str(first_start).lower()}",
            f"counts_as_loss = {str(is_core).lower()}",
            'discovery = "registry"',
            'entry = "directory"',
            "beat_ms = 1200",
            'config_mode = "highest"',
            'contracts = ["base","drain","config","cost","retry","recover","engine","stream",'
            '"tenants"]',
        ]
        if is_core:
            data = self.folder / f"{machine.name}.data"
            data.mkdir(exist_ok=True)
            lines.append(f'data_dir = "{data}"')
        lines += ["[zones]", *(f'{zone} = "colombo"' for zone in ZONES), "[listen]"]
        if is_core:
            lines.append(f'control = "{machine.ip}:{self.port + 10}"')
        else:
            names = ("front", "ready", "directory")
            lines += [f'{n} = "{machine.ip}:{self.port + 11 + i}"' for i, n in enumerate(names)]
        memory = 296 if is_core else 150
        lines += [
            "[limits]",
            "cpu_share = 0.537",
            "cores = 2",
            f"memory_mb = {memory}",
            "max_fds = 4100",
            "link_mbps = 1000.0",
            f"disk_mb = {128 if is_core else 0}",
            "[tolerate]",
            "machines = 1",
            "zones = 0",
            "regions = 0",
            "[bounds]",
            BOUNDS,
        ]
        path = self.folder / f"{machine.name}.toml"
        path.write_text("\n".join(lines), encoding="utf-8")
        return path

    async def call_control(self, method, path, body=None, seconds=10.0):
        """Call one control host after another until one answers 2xx; return the answer."""
        end, turn = time.monotonic() + seconds, random.randrange(len(self.cores))
        data = json.dumps(body).encode() if body is not None else b""
        while True:
            core = self.cores[turn % len(self.cores)]
            headers = {"Host": "control", "Content-Type": "application/json"}
            answer = await call(self.control(core), method, path, headers, data, 1.0)
            if 200 <= answer.status < 300:
                return answer
            if time.monotonic() > end:
                raise TimeoutError(f"{method} {path}: {answer.status} {answer.body!r}")
            turn += 1
            await asyncio.sleep(0.1)

    async def publish(self, body):
        """Send a desired state until it is acknowledged."""
        await self.call_control("POST", "/v1/config/replace", body)
        self.record.say("desired state", body["version"], "acknowledged")

    async def until_ready(self, seconds=30.0):
        """Wait until every front machine says that it is ready."""
        end = time.monotonic() + seconds
        for machine in self.fronts:
            while True:
                answer = await call((machine.ip, self.port + 12), "GET", "/v1/ready", {}, b"", 1.0)
                if answer.status == 200:
                    break
                if time.monotonic() > end:
                    raise TimeoutError(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)

    async def until_served(self, path, seconds=30.0, **headers):
        """Send warm-up requests to every front until each has answered one with 200."""
        end = time.monotonic() + seconds
        for number, machine in enumerate(self.fronts):
            turn = 0
            while True:
                turn += 1
                sent = caller_headers(f"warm-{number}-{turn}", 2000) | headers
                answer = await call(self.front(machine), "POST", path, sent, b"{}", 2.5)
                if answer.status == 200 and answer.is_whole:
                    break
                if time.monotonic() > end:
                    raise TimeoutError(f"{machine.name} answers {answer.status} {answer.body!r}")
                await asyncio.sleep(0.2)


def caller_headers(request_id, deadline_ms):
    """Return the headers of a caller's request."""
    return {
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
        "Content-Type": "application/json",
    }


def request_head(method, path, headers, length):
    """Return the bytes of a request's head."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in {"Host": HOST, **headers}.items()]
    if length:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def read_head(reader):
    """Return the first line and the headers, with names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in head[1:] if line]
    return head[0], {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_chunks(reader, take):
    """Pass on a chunked body; return at its end mark, or raise where it breaks off."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        take(data[:-2])


async def call(address, method, path, headers, body, seconds):
    """Send one request on a connection of its own, and return the answer."""
    answer = Answer()
    writer = None

    def take(data):
        answer.body += data

    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(request_head(method, path, headers, len(body)) + body)
            await writer.drain()
            line, answer.headers = await read_head(reader)
            answer.status = int(line.split()[1])
            if "chunked" in answer.headers.get("transfer-encoding", ""):
                await read_chunks(reader, take)
            elif "content-length" in answer.headers:
                take(await reader.readexactly(int(answer.headers["content-length"])))
            else:
                take(await reader.read())
            answer.is_whole = True
    except (OSError, EOFError, ValueError, TimeoutError, asyncio.LimitOverrunError) as error:
        answer.error = f"{type(error).__name__}: {error}"
    finally:
        if writer is not None:
            writer.close()
    return answer


class Worker:
    """Serve one address as a worker; ``run`` is to be written by a script's own class.

    It announces itself to the control hosts every ``beat_s`` seconds.
    """

    beat_s = 1.2

    def __init__(self, fleet, name, service, *, slots=8, is_engine=False, version="v1", born=None):
        self.fleet, self.name, self.service, self.slots = fleet, name, service, slots
        self.is_engine, self.version, self.born = is_engine, version, born
        self.zone = ZONES[0]
        self.port = 0
        self.call_seq = 0
        self.state = "ready"
        self.ran = []
        self._server = None
        self._writers = set()
        self._beating = None

    async def start(self, first_beat_s=0.0):
        """Listen, and announce itself after ``first_beat_s`` seconds."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._beating = asyncio.create_task(self._beat(first_beat_s))

    async def crash(self):
        """End as a killed process does: the listener closes, and all connections are reset."""
        self._beating.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    def heartbeat(self):
        """Return the body of the next heartbeat."""
        self.call_seq += 1
        body = {
            "service": self.service,
            "addr": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "call_seq": self.call_seq,
        }
        if self.is_engine:
            body |= {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}]}
        if self.born is not None:
            body["born"] = self.born
        return body

    async def beat(self):
        """Send one heartbeat until it is acknowledged."""
        path = f"/v1/instances/{self.name}/heartbeat"
        await self.fleet.call_control("POST", path, self.heartbeat(), 5.0)

    async def _beat(self, first_beat_s):
        await asyncio.sleep(first_beat_s)
        while True:
            try:
                await self.beat()
            except TimeoutError as error:
                self.fleet.record.say(self.name, "has no acknowledgement:", error)
            await asyncio.sleep(self.beat_s)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, path, _ = line.split(" ", 2)
                if headers.get("x-expect-instance") not in (None, self.name):
                    self.answer(writer, 421, {"X-Instance-Id": self.name}, b"")
                    return
                await self.run(method, path, headers, reader, writer)
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def read_body(self, headers, reader):
        """Return a request's body."""
        if "chunked" in headers.get("transfer-encoding", ""):
            parts = []
            await read_chunks(reader, parts.append)
            return b"".join(parts)
        return await reader.readexactly(int(headers.get("content-length", "0")))

    def answer(self, writer, status, headers, body):
        """Send a whole answer."""
        words = {200: "OK", 421: "Misdirected Request", 503: "Service Unavailable"}
        lines = [f"HTTP/1.1 {status} {words.get(status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)

    def stamp(self, headers):
        """Return the headers of an answer to a request with ``headers``."""
        request_id = headers.get("x-request-id", "")
        return {"X-Request-Id": request_id, "X-Server-Stamp": f"{self.name}.{request_id}.c9f2"}

    async def run(self, method, path, headers, reader, writer):
        """Run one request."""
        raise NotImplementedError


def route(name, kind, service, **fields):
    """Return a route of ``HOST`` with the path ``/NAME/``."""
    made = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 10000,
        "goal_ms": 600,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
        "gap_goal_ms": 500,
    }
    return {**made, **fields}


def desired_state(version, routes, services, prepaid=100_000_000):
    """Return a desired state with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "desk", "api_keys": [KEY], "priority": 1, "prepaid": prepaid}],
    }


ENGINES = {
    "name": "engines",
    "health_path": "/health",
    "max_conns": 360,
    "proto": "h1",
    "tls": False,
    "engine": {
        "slots": 64,
        "kv_capacity": 344277,
        "kv_token_bytes": 18432,
        "link_mbps": 370000.0,
        "stride": 4,
        "models": [{"name": "m"}],
    },
}
LEDGER = {"name": "ledger", "health_path": "/health", "max_conns": 100, "proto": "h1", "tls": False}


def main(folder, play):
    """Run ``play`` and exit with 0 if the rule held, 1 if it broke, 2 if the case couldn't run."""

    async def run():
        record = Record(folder)
        try:
            async with asyncio.timeout(110):
                code = await play(record)
        except Exception as error:  # any failure of the stand-ins means that the case can't run
            record.tell("the case couldn't run:", type(error).__name__, error)
            code = NOT_RUN
        record.tell("exit", code)
        return code

    sys.exit(asyncio.run(run()))
