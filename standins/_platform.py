"""Stand in for the users' platform on loopback: machines, operator, workers and callers.

Each machine is an address of the loopback range, on which one program runs as a process that
reads its settings file. Words on the wire are the platform's.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
from aiohttp import web

from standins._faults import Faults, is_in_need

ADMIN_PORT_OFFSET = 1
CONTROL_PORT_OFFSET = 10
FRONT_PORT_OFFSET = 11
READY_PORT_OFFSET = 12
DIRECTORY_PORT_OFFSET = 13
PORTS_PER_MACHINE = 20
BEAT_S = 0.3
CALL_S = 2.0
ORDER_S = 6.0
RETRY_S = 0.1
LOGGED_LINES = 40
LARGEST_BODY_BYTES = 16 * 1024 * 1024
ZONES = ("town-hall", "annex")
HOST = "letters.example"
KEY = "stand-in-key-1"


class Machine(NamedTuple):
    """Describe one machine: ``ip`` is its own address of the loopback range."""

    name: str
    module: str
    ip: str
    zone: str


class Answer(NamedTuple):
    """Hold what a caller got; ``is_whole`` is false where the answer was cut."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


class Arrived(NamedTuple):
    """Hold a request that reached a worker, and when, in monotonic seconds.

    ``backoff_s`` is for how long the worker asked its sender for no further request, and
    ``has_said_leaving`` whether its answer said that the worker leaves.
    """

    at: float
    request_id: str
    backoff_s: float = 0.0
    has_said_leaving: bool = False


ENDS_WORKERS = b"ends-workers"
"""A request whose body holds this ends each worker that begins to run it."""

ENDS_WORKERS_PART = "dead"
"""Each part of a prompt whose name begins so, other than its last, ends each worker that begins to
answer to it."""

CRASH_AFTER_S = 0.03
"""How long after the head of its answer such a request ends its worker, in seconds."""


class Worker:
    """Answer forwarded requests, as a plain service or as a model engine with event streams.

    One that ended is back after ``back_after_s`` under a new name, at the same address. One in
    need names in its answers ``limit``, the requests a second that it takes, as text; with
    ``needs`` above 0 only in that share of spans of some seconds, drawn by chance.

    One that ``sheds`` turns all requests away with 503, and one with ``most_running`` above 0 those
    that come while it works on so many. Both ask for ``backoff_s`` seconds without another request
    of the same host. One that ``says_leaving`` says so in each answer, and in no heartbeat.
    One that is cold says so in its heartbeats, and crashes if over ``most_cold_per_s`` requests
    reach it in a second.
    ``version`` is that of its software.
    ``arrivals`` has each request that reached it, whatever became of it, and ``last_body`` the
    bytes of the last one that it ran.
    """

    back_after_s = 1.0

    def __init__(self, name: str, service: str, is_engine: bool, event_s: float = 0.01) -> None:
        self.name = name
        self.service = service
        self.is_engine = is_engine
        self.ran: list[str] = []
        self.ends: list[float] = []
        self.begun_fatal: list[float] = []
        self.begun_by_part: dict[str, list[float]] = {}
        self.events = 6
        self.limit: str | None = None
        self.needs = 0.0
        self.sheds = False
        self.most_running = 0
        self.backoff_s = 3.0
        self.work_s = 0.0
        self.says_leaving = False
        self.zone = ZONES[0]
        self.version = "v1"
        self._cold_since = self._cold_until = 0.0
        self.most_cold_per_s = 0.0
        self.arrivals: list[Arrived] = []
        self.last_body = b""
        self._running = 0
        self.event_s = event_s
        self._runner: web.AppRunner | None = None
        self._transports: set[asyncio.Transport] = set()
        self._crash: asyncio.Task[None] | None = None
        self.address = ""
        self.call_seq = 0

    async def start(self, port: int = 0) -> None:
        """Listen at a port, or at a free one."""
        app = web.Application(client_max_size=LARGEST_BODY_BYTES)
        app.router.add_route("*", "/{path:.*}", self._answer)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.1, auto_decompress=False
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", port, reuse_address=True).start()
        host, bound = self._runner.addresses[0][:2]
        self.address = f"{host}:{bound}"

    def become_cold(self, seconds: float) -> None:
        """Be cold for so long from now on."""
        self._cold_since = time.monotonic()
        self._cold_until = self._cold_since + seconds

    @property
    def arrived_at(self) -> list[float]:
        """Return when each request reached the worker, in monotonic seconds."""
        return [arrived.at for arrived in self.arrivals]

    @property
    def is_up(self) -> bool:
        """Return whether the worker runs now."""
        return self._runner is not None

    async def _end_and_return(self) -> None:
        """End as a process that crashes does, and start again later."""
        if self._runner is None:
            return
        runner, self._runner = self._runner, None
        self.ends.append(time.monotonic())
        for site in list(runner.sites):
            await site.stop()
        for transport in list(self._transports):
            transport.abort()
        await runner.cleanup()
        await asyncio.sleep(self.back_after_s)
        self.call_seq = 0
        self.name = f"{self.name.partition('+')[0]}+{len(self.ends)}"
        await self.start(int(self.address.rpartition(":")[2]))

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def heartbeat(self, state: str = "ready") -> dict[str, Any]:
        """Return the body of the next heartbeat."""
        self.call_seq += 1
        body: dict[str, Any] = {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 8,
            "state": state,
            "cold_left_ms": max(0, round(1000 * (self._cold_until - time.monotonic()))),
            "call_seq": self.call_seq,
        }
        if self.is_engine:
            body["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return body

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get("X-Request-Id", "")
        arrived = Arrived(time.monotonic(), request_id, 0.0, self.says_leaving)
        headers = {"X-Request-Id": request_id, "X-Server-Stamp": f"{self.name}.{request_id}"}
        need = Faults(limit_per_s=0.0, needs=self.needs)
        if self.limit is not None and is_in_need(need, len(self.name), time.monotonic()):
            headers["Server-Limit"] = self.limit
        if self.says_leaving:
            headers["Server-Leaving"] = "1"
        is_full = 0 < self.most_running <= self._running
        if self.sheds or is_full:
            self.arrivals.append(arrived._replace(backoff_s=self.backoff_s))
            asked = {"X-Not-Run": "1", "Retry-After": f"{self.backoff_s:g}"}
            return web.Response(status=503, headers={**headers, **asked})
        self.arrivals.append(arrived)
        if self._is_overrun(arrived.at):
            self._start_crash()
        if request.headers.get("X-Expect-Instance") not in (None, self.name):
            return web.Response(status=421, headers=headers)
        transport = request.transport
        assert isinstance(transport, asyncio.Transport)
        self._transports.add(transport)
        self._running += 1
        try:
            return await self._run(request, headers, request_id)
        finally:
            self._running -= 1
            self._transports.discard(transport)

    async def _run(
        self, request: web.Request, headers: dict[str, str], request_id: str
    ) -> web.StreamResponse:
        body = await request.read()
        self.ran.append(request_id)
        self.last_body = body
        fatal_parts = _fatal_parts(request.headers)
        for part in fatal_parts:
            self.begun_by_part.setdefault(part, []).append(time.monotonic())
        if ENDS_WORKERS in body or fatal_parts:
            return await self._begin_fatal(request, headers)
        if self.is_engine:
            return await self._stream(request, headers)
        await asyncio.sleep(self.work_s)
        told = {"by": self.name, "tenant": request.headers.get("X-Tenant", "")}
        return web.Response(body=json.dumps(told).encode(), headers=headers)

    async def _begin_fatal(
        self, request: web.Request, headers: dict[str, str]
    ) -> web.StreamResponse:
        self.begun_fatal.append(time.monotonic())
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        if self.is_engine:
            await response.prepare(request)
        await asyncio.sleep(CRASH_AFTER_S)
        self._start_crash()
        await asyncio.sleep(CALL_S)
        return response

    def _start_crash(self) -> None:
        if self._crash is None or self._crash.done():
            self._crash = asyncio.create_task(self._end_and_return())

    def _is_overrun(self, now: float) -> bool:
        if now >= self._cold_until or not self.most_cold_per_s:
            return False
        since = max(self._cold_since, now - 1.0)
        return sum(at > since for at in self.arrived_at) > self.most_cold_per_s

    async def _stream(self, request: web.Request, headers: dict[str, str]) -> web.StreamResponse:
        response = web.StreamResponse(headers={**headers, "Content-Type": "text/event-stream"})
        response.enable_chunked_encoding()
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_s)
            await response.write(f"id: {number}\ndata: piece {number}\n\n".encode())
        return response


def _fatal_parts(headers: Mapping[str, str]) -> list[str]:
    entries = headers.get("X-Prompt-Prefix", "").split(",")
    names = [entry.strip().partition(":")[0] for entry in entries[:-1]]
    return [name for name in names if name.startswith(ENDS_WORKERS_PART)]


class Platform:
    """Run the system's programs on loopback, and speak to them as the platform does."""

    def __init__(self, folder: Path, cores: int = 3, fronts: int = 2) -> None:
        self._folder = folder
        self._port = _free_port()
        self.cores = [
            Machine(f"core-{number}", "core", f"127.0.3.{number}", ZONES[number % 2])
            for number in range(1, cores + 1)
        ]
        self.fronts = [
            Machine(f"front-{number}", "front", f"127.0.4.{number}", ZONES[number % 2])
            for number in range(1, fronts + 1)
        ]
        self._process_by_name: dict[str, asyncio.subprocess.Process] = {}
        # Checkouts of machines that run another build than the caller's.
        self.root_by_name: dict[str, Path] = {}
        # File descriptors that get a machine's output in place of its log file.
        self.output_by_name: dict[str, int] = {}
        # The section ``limits`` of the settings files that are written from now on.
        self.limits: dict[str, float] = {}
        self.workers: list[Worker] = []
        self._beating: dict[str, asyncio.Task[None]] = {}
        self._session: aiohttp.ClientSession | None = None
        self._ids = 0

    async def start(self) -> None:
        """Start all programs for the first time."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_S), auto_decompress=False
        )
        for machine in (*self.cores, *self.fronts):
            await self.start_machine(machine, first_start=True)

    async def start_machine(self, machine: Machine, first_start: bool = False) -> None:
        """Start a machine's program, with the disk that it had."""
        path = self._write_boot(machine, first_start)
        environment = {**os.environ, "CRANBERRYWALL_CONFIG": str(path)}
        log = (self._folder / f"{machine.name}.log").open("ab")
        output = self.output_by_name.get(machine.name, log)
        command = [sys.executable, "-m", f"cranberrywall.platform.{machine.module}"]
        self._process_by_name[machine.name] = await asyncio.create_subprocess_exec(
            *command,
            env=environment,
            stdout=output,
            stderr=output,
            cwd=self.root_by_name.get(machine.name),
        )
        log.close()

    async def kill(self, machine: Machine) -> None:
        """End a machine's process at once."""
        process = self._process_by_name.pop(machine.name)
        process.kill()
        await process.wait()

    async def terminate(self, machine: Machine) -> float:
        """Ask a machine's process to stop; return the seconds that it took."""
        process = self._process_by_name.pop(machine.name)
        started_at = time.monotonic()
        process.terminate()
        await process.wait()
        return time.monotonic() - started_at

    def process(self, machine: Machine) -> asyncio.subprocess.Process:
        """Return a machine's process."""
        return self._process_by_name[machine.name]

    async def lose_power(
        self, machines: Sequence[Machine], seconds: float, disks: bool = True
    ) -> None:
        """Kill machines at the same moment and start them again, with their disks or empty."""
        await asyncio.gather(*(self.kill(machine) for machine in machines))
        await asyncio.sleep(seconds)
        for machine in machines:
            if not disks:
                shutil.rmtree(self._folder / f"{machine.name}.data", ignore_errors=True)
            await self.start_machine(machine)

    def freeze(self, machine: Machine) -> None:
        """Stop a machine's process for a while."""
        self._process_by_name[machine.name].send_signal(signal.SIGSTOP)

    def thaw(self, machine: Machine) -> None:
        """Let a machine's process go on."""
        self._process_by_name[machine.name].send_signal(signal.SIGCONT)

    async def stop(self) -> None:
        """End every process that was started here, and the workers."""
        for task in self._beating.values():
            task.cancel()
        for process in self._process_by_name.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        for worker in self.workers:
            await worker.stop()
        if self._session is not None:
            await self._session.close()

    async def add_worker(self, worker: Worker) -> None:
        """Start a worker, which announces itself to control from now on."""
        await worker.start()
        self.workers.append(worker)
        self._beating[worker.name] = asyncio.create_task(self._beat(worker))

    async def withdraw_worker(self, worker: Worker) -> None:
        """Report that a worker leaves, until that is acknowledged."""
        self._beating.pop(worker.name).cancel()
        path = f"/v1/instances/{worker.name}/heartbeat"
        await self._call_control("POST", path, worker.heartbeat("draining"))

    async def publish(self, version: int, prepaid: int, routes: list[Any] | None = None) -> None:
        """Send a configuration until it is acknowledged."""
        await self.publish_body(configuration(version, prepaid, routes))

    async def publish_body(self, body: dict[str, Any]) -> None:
        """Send a configuration of one's own until it is acknowledged."""
        await self._call_control("POST", "/v1/config/replace", body)

    async def reads_configuration(self, core: Machine, seconds: float) -> bool:
        """Return whether one control host gives the configuration in force in time."""
        end = time.monotonic() + seconds
        url = f"http://{self.address(core, CONTROL_PORT_OFFSET)}/v1/config/get"
        while time.monotonic() < end:
            status, _ = await self._call("GET", url, None)
            if status == 200:
                return True
            await asyncio.sleep(RETRY_S)
        return False

    async def evacuate(self, zone: str, is_start: bool = True) -> None:
        """Order the start or the end of a zone's evacuation until it is acknowledged."""
        await self._call_control("POST", f"/v1/evacuate/{zone}/{_order(is_start)}", None)

    async def evacuation_status(self, zone: str) -> int:
        """Order an evacuation of one control host, and return its status."""
        address = self.address(self.cores[0], CONTROL_PORT_OFFSET)
        url = f"http://{address}/v1/evacuate/{zone}/{_order(True)}"
        status, _ = await self._call("POST", url, None)
        return status

    async def refused_status(self, body: Any) -> int:
        """Send one configuration to one control host, and return its status."""
        return await self.order_status(self.cores[0], body)

    async def order_status(self, core: Machine, body: Any) -> int:
        """Send a configuration to a control host; return its status, 0 without an answer."""
        url = f"http://{self.address(core, CONTROL_PORT_OFFSET)}/v1/config/replace"
        status, _ = await self._call("POST", url, body, ORDER_S)
        return status

    async def read_configuration(self) -> dict[str, Any]:
        """Return the configuration in force."""
        data = await self._call_control("GET", "/v1/config/get", None)
        read: dict[str, Any] = json.loads(data)
        return read

    async def resolve(self, asked: Machine) -> list[str]:
        """Return the addresses that one host names to callers; none where it does not answer."""
        address = self.address(asked, DIRECTORY_PORT_OFFSET)
        url = f"http://{address}/v1/resolve?name={HOST}&region=r&zone={asked.zone}"
        status, data = await self._call("GET", url, None)
        return list(json.loads(data)["addrs"]) if status == 200 else []

    async def is_ready(self, machine: Machine) -> bool:
        """Return whether a host says that it is ready."""
        address = self.address(machine, READY_PORT_OFFSET)
        status, _ = await self._call("GET", f"http://{address}/v1/ready", None)
        return status == 200

    async def read_state(self, machine: Machine) -> dict[str, Any]:
        """Return the state dump of a host's program; empty where it does not answer."""
        url = f"http://{self.address(machine, ADMIN_PORT_OFFSET)}/state"
        status, data = await self._call("GET", url, None)
        read: dict[str, Any] = json.loads(data) if status == 200 else {}
        return read

    async def until_ready(self, seconds: float = 20.0) -> None:
        """Wait until every front is ready."""
        end = time.monotonic() + seconds
        for machine in self.fronts:
            while not await self.is_ready(machine):
                if time.monotonic() > end:
                    raise TimeoutError(f"{machine.name} is not ready: {self._last_lines(machine)}")
                await asyncio.sleep(RETRY_S)

    def _last_lines(self, machine: Machine) -> str:
        """Return the end of a machine's log: its folder may be removed with the error."""
        process = self._process_by_name[machine.name]
        text = (self._folder / f"{machine.name}.log").read_text("utf-8", errors="replace")
        lines = text.splitlines()[-LOGGED_LINES:]
        return "\n  ".join([f"exit status {process.returncode}", *lines])

    async def ask(
        self, front: Machine, path: str, body: bytes = b"{}", /, **headers: str
    ) -> Answer:
        """Send one request to one front, as a caller."""
        assert self._session is not None
        self._ids += 1
        sent = {
            "Host": HOST,
            "X-Request-Id": f"id-{self._ids}",
            "X-Deadline-Ms": "2000",
            "Authorization": f"Bearer {KEY}",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        url = f"http://{self.address(front, FRONT_PORT_OFFSET)}{path}"
        got = b""
        async with self._session.post(url, headers=sent, data=body) as response:
            try:
                async for data in response.content.iter_any():
                    got += data
            except aiohttp.ClientPayloadError:
                return Answer(response.status, dict(response.headers), got, False)
            return Answer(response.status, dict(response.headers), got, True)

    async def until_answered(
        self, front: Machine, path: str, seconds: float = 15.0, **headers: str
    ) -> Answer:
        """Ask again, a little later each time, until a front answers 200."""
        end = time.monotonic() + seconds
        while True:
            try:
                answer = await self.ask(front, path, **headers)
            except (aiohttp.ClientError, TimeoutError):
                answer = Answer(0, {}, b"", False)
            if answer.status == 200:
                return answer
            if time.monotonic() > end:
                raise TimeoutError(f"{front.name} answers {answer}; see {self._folder}")
            await asyncio.sleep(RETRY_S)

    async def _beat(self, worker: Worker) -> None:
        while True:
            if worker.is_up:
                path = f"/v1/instances/{worker.name}/heartbeat"
                await self._call_control("POST", path, worker.heartbeat())
            await asyncio.sleep(BEAT_S)

    async def _call_control(self, method: str, path: str, body: Any) -> bytes:
        """Call one control host after another until one answers."""
        turn = 0
        while True:
            core = self.cores[turn % len(self.cores)]
            url = f"http://{self.address(core, CONTROL_PORT_OFFSET)}{path}"
            status, data = await self._call(method, url, body)
            if 200 <= status < 300:
                return data
            if 400 <= status < 500:
                raise ValueError(f"{path}: {status} {data!r}")
            turn += 1
            await asyncio.sleep(RETRY_S)

    async def _call(
        self, method: str, url: str, body: Any, seconds: float = CALL_S
    ) -> tuple[int, bytes]:
        assert self._session is not None
        data = json.dumps(body).encode() if body is not None else None
        try:
            timeout = aiohttp.ClientTimeout(total=seconds)
            async with self._session.request(method, url, data=data, timeout=timeout) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, b""

    def address(self, machine: Machine, offset: int) -> str:
        """Return where a machine listens for one of its uses."""
        return f"{machine.ip}:{self._port + offset}"

    def _write_boot(self, machine: Machine, first_start: bool) -> Path:
        seeds = [self.address(core, CONTROL_PORT_OFFSET) for core in self.cores[:3]]
        lines = [
            f'node = "{machine.name}"',
            f'ip = "{machine.ip}"',
            f'zone = "{machine.zone}"',
            f"port_range = [{self._port}, {self._port + CONTROL_PORT_OFFSET - 1}]",
            f"seeds = {json.dumps(seeds)}",
            f"first_start = {str(first_start).lower()}",
        ]
        if machine.module == "core":
            data = self._folder / f"{machine.name}.data"
            data.mkdir(exist_ok=True)
            lines.append(f'data_dir = "{data}"')
        lines += ["[zones]", *(f'{zone} = "r"' for zone in ZONES), "[listen]"]
        for name, offset in self._listen(machine):
            lines.append(f'{name} = "{self.address(machine, offset)}"')
        lines += ["[limits]", *(f"{name} = {value}" for name, value in self.limits.items())]
        path = self._folder / f"{machine.name}.toml"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        return path

    def _listen(self, machine: Machine) -> list[tuple[str, int]]:
        if machine.module == "core":
            return [("control", CONTROL_PORT_OFFSET)]
        return [
            ("front", FRONT_PORT_OFFSET),
            ("ready", READY_PORT_OFFSET),
            ("directory", DIRECTORY_PORT_OFFSET),
        ]


def configuration(version: int, prepaid: int, routes: list[Any] | None = None) -> dict[str, Any]:
    """Return a configuration with a stream route and two plain ones."""
    return {
        "version": version,
        "routes": routes
        or [
            route("letters", "stream", "engines", resumable=True),
            route("checks", "idempotent", "ledger"),
            route("orders", "non_idempotent", "ledger"),
        ],
        "services": [
            {
                "name": "engines",
                "health_path": "/health",
                "max_conns": 100,
                "engine": {"slots": 8, "kv_capacity": 100_000, "stride": 4},
            },
            {"name": "ledger", "health_path": "/health", "max_conns": 100},
        ],
        "limits": {},
        "tenants": [{"name": "desk", "api_keys": [KEY], "priority": 1, "prepaid": prepaid}],
    }


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of ``HOST`` with the path ``/NAME/``."""
    made = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 5000,
        "goal_ms": 500,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "public": False,
        "resumable": False,
        "gap_goal_ms": 500,
    }
    return {**made, **fields}


def _order(is_start: bool) -> str:
    return "start" if is_start else "end"


def _free_port() -> int:
    """Return the first of some ports that are free, as far as one can tell."""
    with socket.socket() as probe:
        probe.bind(("127.0.3.1", 0))
        port: int = probe.getsockname()[1]
    return min(port, 65535 - PORTS_PER_MACHINE)
