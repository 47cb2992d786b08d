"""A network in memory that fails on request.

Hosts are IP numbers. What is sent over a cut is held and arrives when the cut is mended, as
TCP's retransmissions do; a dial over a cut times out.
"""

import asyncio
from collections import deque
from typing import NamedTuple

from cranberrywall.runtime import (
    Clock,
    Listener,
    Network,
    OnConnect,
    Random,
    Reader,
    Timers,
    Writer,
)

_BUFFER_BYTES = 64 * 1024
_RETRANSMIT_S = 0.2
_WINDOW_BYTES = 64 * 1024
"""What one connection has under way at most where a machine's own link has a rate."""

_SEGMENT_BYTES = 8 * 1024
"""Connections that share such a link take turns after so many bytes."""


class Rule(NamedTuple):
    """Say how one direction between two hosts behaves; times in seconds, others are odds.

    ``jitter`` is added at random to each chunk's ``delay``: chunks of one connection keep
    their order, those of different connections do not. A lost chunk comes a
    retransmission later.
    """

    delay: float = 0.0
    jitter: float = 0.0
    loss: float = 0.0
    duplicates: float = 0.0
    is_cut: bool = False


class MachineLink:
    """Carry what one machine sends and takes, each at a rate, and hand it to its processor.

    ``bytes_per_s`` holds for each direction. The processor takes ``seconds_per_byte`` for what
    arrives, one after the other.
    """

    def __init__(self, bytes_per_s: float, seconds_per_byte: float = 0.0) -> None:
        self._seconds_out = 1.0 / bytes_per_s
        self._seconds_in = 1.0 / bytes_per_s + seconds_per_byte
        self._out_free_at = 0.0
        self._in_free_at = 0.0

    def leave(self, size: int, now: float) -> float:
        """Return when ``size`` bytes that are sent now are on their way."""
        self._out_free_at = max(now, self._out_free_at) + size * self._seconds_out
        return self._out_free_at

    def arrive(self, size: int, at: float) -> float:
        """Return when ``size`` bytes that reach the link at ``at`` are taken in."""
        self._in_free_at = max(at, self._in_free_at) + size * self._seconds_in
        return self._in_free_at


class FakeFabric:
    """Join the hosts' networks, and break what is between them."""

    def __init__(self, clock: Clock, random: Random, rule: Rule | None = None) -> None:
        self.clock = clock
        self.random = random
        self.timers = Timers(clock)
        self.default_rule = rule or Rule()
        self.bytes_by_host: dict[str, int] = {}
        self._rule_by_pair: dict[tuple[str, str], Rule] = {}
        self._silent: set[str] = set()
        self._link_by_host: dict[str, MachineLink] = {}
        self._listener_by_address: dict[str, _FakeListener] = {}
        self._pipes: list[_Pipe] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._next_port = 40000

    def network(self, host: str) -> Network:
        """Return the network as ``host``, an IP number, has it."""
        return _FakeNetwork(self, host)

    def rule(self, source: str, sink: str) -> Rule:
        """Return what holds for bytes from ``source`` to ``sink``."""
        rule = self._rule_by_pair.get((source, sink), self.default_rule)
        if self._silent and (source in self._silent or sink in self._silent):
            return rule._replace(is_cut=True)
        return rule

    def set_rule(self, source: str, sink: str, rule: Rule) -> None:
        """Set what holds for bytes from ``source`` to ``sink``, also on open connections."""
        self._rule_by_pair[source, sink] = rule
        for pipe in self._pipes:
            pipe.release_held()

    def cut_one_way(self, source: str, sink: str) -> None:
        """Hold all bytes from ``source`` to ``sink``."""
        self.set_rule(source, sink, self.rule(source, sink)._replace(is_cut=True))

    def cut(self, first: str, second: str) -> None:
        """Hold all bytes between two hosts."""
        self.cut_one_way(first, second)
        self.cut_one_way(second, first)

    def heal(self, first: str, second: str) -> None:
        """End a cut in both directions; what was held arrives."""
        for source, sink in ((first, second), (second, first)):
            self.set_rule(source, sink, self.rule(source, sink)._replace(is_cut=False))

    def silence(self, host: str) -> None:
        """Cut a host off from all others, as when it loses its power."""
        self._silent.add(host)

    def unsilence(self, host: str) -> None:
        """End a silence; what was held arrives."""
        self._silent.discard(host)
        for pipe in list(self._pipes):
            pipe.release_held()

    def set_link(self, host: str, link: MachineLink) -> None:
        """Let a machine's own link have a rate; set it before its connections are made."""
        self._link_by_host[host] = link

    def link(self, host: str) -> MachineLink | None:
        """Return the link of a machine that has a rate."""
        return self._link_by_host.get(host)

    def halve(self, source: str, sink: str) -> None:
        """Lose for good what open connections carry from ``source`` to ``sink``."""
        for pipe in self._between(source, sink):
            pipe.is_lost = True

    def drop(self, first: str, second: str) -> None:
        """Reset all open connections between two hosts."""
        for pipe in self._between(first, second) + self._between(second, first):
            pipe.reset()

    def crash(self, host: str) -> None:
        """Reset all connections of a host, and close its listeners."""
        for address in [name for name in self._listener_by_address if _host(name) == host]:
            del self._listener_by_address[address]
        for pipe in list(self._pipes):
            if host in (pipe.source, pipe.sink):
                pipe.reset()

    def _between(self, source: str, sink: str) -> "list[_Pipe]":
        return [pipe for pipe in self._pipes if (pipe.source, pipe.sink) == (source, sink)]

    async def connect(self, source: str, address: str, timeout: float) -> tuple[Reader, Writer]:
        """Dial ``address`` from ``source``."""
        sink = _host(address)
        there, back = self.rule(source, sink), self.rule(sink, source)
        if there.is_cut or back.is_cut:
            await self.clock.sleep(timeout)
            raise TimeoutError(f"{address} does not answer")
        if there.delay + back.delay > 0:
            await self.clock.sleep(there.delay + back.delay)
        listener = self._listener_by_address.get(address)
        if listener is None:
            raise ConnectionRefusedError(f"nobody listens at {address}")
        outward, inward = _Pipe(self, source, sink), _Pipe(self, sink, source)
        outward.back, inward.back = inward, outward
        self._pipes += [outward, inward]
        self._start(listener.on_connect(outward, _FakeWriter(inward)))
        return inward, _FakeWriter(outward)

    def _start(self, work: object) -> None:
        task: asyncio.Task[None] = asyncio.ensure_future(work)  # type: ignore[call-overload] # any awaitable
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def bind(self, host: str, address: str, on_connect: OnConnect) -> "Listener":
        """Listen at ``address``."""
        port = int(address.rpartition(":")[2])
        if port == 0:
            self._next_port += 1
            port = self._next_port
        bound = f"{host}:{port}"
        if bound in self._listener_by_address:
            raise OSError(f"{bound} is in use")
        listener = _FakeListener(self, bound, on_connect)
        self._listener_by_address[bound] = listener
        return listener

    def unbind(self, address: str) -> None:
        """Stop listening at ``address``."""
        self._listener_by_address.pop(address, None)

    def forget(self, pipe: "_Pipe") -> None:
        """Drop a pipe that is at its end."""
        if pipe in self._pipes:
            self._pipes.remove(pipe)


def _host(address: str) -> str:
    return address.rpartition(":")[0]


class _FakeNetwork:
    def __init__(self, fabric: FakeFabric, host: str) -> None:
        self._fabric = fabric
        self._host = host

    async def dial(self, address: str, timeout: float) -> tuple[Reader, Writer]:
        return await self._fabric.connect(self._host, address, timeout)

    async def listen(self, address: str, on_connect: OnConnect) -> Listener:
        return self._fabric.bind(self._host, address, on_connect)


class _FakeListener:
    def __init__(self, fabric: FakeFabric, address: str, on_connect: OnConnect) -> None:
        self._fabric = fabric
        self.address = address
        self.on_connect = on_connect

    async def close(self) -> None:
        self._fabric.unbind(self.address)


class _Pipe:
    """Carry one direction of one connection; it is the reader at its sink."""

    def __init__(self, fabric: FakeFabric, source: str, sink: str) -> None:
        self.source = source
        self.sink = sink
        self.is_lost = False
        self.is_closed = False
        self.back = self
        self._fabric = fabric
        self._held: deque[bytes | None] = deque()
        self._under_way = 0
        self._on_the_way = 0
        self._last_arrival = 0.0
        self._buffer = bytearray()
        self._is_at_end = False
        self._fails_reader = False
        self._fails_writer = False
        self._changed = asyncio.Event()

    def send(self, data: bytes | None) -> None:
        """Carry ``data``, or the end of the stream where it is ``None``."""
        if self.is_lost or self.is_closed:
            return
        self.is_closed = data is None
        if data is not None:
            self._under_way += len(data)
            count = self._fabric.bytes_by_host.get(self.source, 0)
            self._fabric.bytes_by_host[self.source] = count + len(data)
        if data is not None and self._has_rate():
            starts = range(0, len(data), _SEGMENT_BYTES)
            self._held.extend(data[start : start + _SEGMENT_BYTES] for start in starts)
        else:
            self._held.append(data)
        self.release_held()

    def _may_send(self) -> bool:
        return self._on_the_way < _WINDOW_BYTES or not self._has_rate()

    def _has_rate(self) -> bool:
        ends = (self._fabric.link(self.source), self._fabric.link(self.sink))
        return any(link is not None for link in ends)

    def release_held(self) -> None:
        """Send on what is held, unless the direction is cut or its window is full."""
        rule = self._fabric.rule(self.source, self.sink)
        while self._held and not rule.is_cut and self._may_send():
            data = self._held.popleft()
            self._schedule(data, rule)
            if data and rule.duplicates and self._fabric.random.random() < rule.duplicates:
                self._under_way += len(data)
                self._schedule(data, rule)

    def _schedule(self, data: bytes | None, rule: Rule) -> None:
        delay = rule.delay
        if rule.jitter:
            delay += self._fabric.random.uniform(0.0, rule.jitter)
        if rule.loss and self._fabric.random.random() < rule.loss:
            delay += _RETRANSMIT_S
        now = self._fabric.clock.now()
        link = self._fabric.link(self.source)
        left_at = now if link is None else link.leave(len(data or b""), now)
        self._last_arrival = max(self._last_arrival, left_at + delay)
        self._on_the_way += len(data or b"")
        if self._last_arrival <= now:
            self._take_in(data)
        else:
            self._fabric.timers.call_at(self._last_arrival, lambda: self._take_in(data))

    def _take_in(self, data: bytes | None) -> None:
        """Let the sink's own link and processor take what came over the line."""
        link = self._fabric.link(self.sink)
        if link is None:
            self._arrive(data)
            return
        taken_at = link.arrive(len(data or b""), self._fabric.clock.now())
        self._fabric.timers.call_at(taken_at, lambda: self._arrive(data))

    def _arrive(self, data: bytes | None) -> None:
        self._on_the_way -= len(data or b"")
        if self.is_lost:
            return
        if data is None:
            self._is_at_end = True
            self.back.refuse_writes()
            self._fabric.forget(self)
        else:
            self._buffer += data
        self._changed.set()
        if self._held:
            self.release_held()

    def reset(self) -> None:
        """End the connection for both ends at once."""
        self.is_closed = True
        self._fails_writer = True
        self.abandon()

    def abandon(self) -> None:
        """Close the sink: what is sent goes nowhere, which the source learns later."""
        self.is_lost = True
        self._fails_reader = True
        self._fabric.forget(self)
        self._changed.set()

    def discard(self) -> None:
        """Drop what has not left the source yet."""
        self._held.clear()

    def refuse_writes(self) -> None:
        """Tell the source that the sink is closed."""
        self._fails_writer = True
        self._changed.set()

    async def readexactly(self, count: int) -> bytes:
        while len(self._buffer) < count:
            if self._fails_reader:
                raise ConnectionResetError("the connection was reset")
            if self._is_at_end:
                partial = bytes(self._buffer)
                self._buffer.clear()
                raise asyncio.IncompleteReadError(partial, count)
            await self._wait()
        data = bytes(self._buffer[:count])
        del self._buffer[:count]
        self._under_way -= count
        self._changed.set()
        return data

    async def drained(self) -> None:
        """Wait until the sink has read most of what was sent."""
        while not self._fails_writer and self._under_way > _BUFFER_BYTES:
            await self._wait()
        if self._fails_writer:
            raise ConnectionResetError("the connection was reset")

    async def _wait(self) -> None:
        self._changed.clear()
        await self._changed.wait()


class _FakeWriter:
    def __init__(self, pipe: _Pipe) -> None:
        self._pipe = pipe

    def write(self, data: bytes) -> None:
        self._pipe.send(bytes(data))

    async def drain(self) -> None:
        await self._pipe.drained()

    def close(self) -> None:
        self._pipe.send(None)
        self._pipe.back.abandon()

    def abort(self) -> None:
        self._pipe.discard()
        self.close()
