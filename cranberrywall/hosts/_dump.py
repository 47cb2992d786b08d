"""Show one process's state to the system's other processes, such as the console."""

from collections.abc import Callable
from typing import NamedTuple

from result import Ok, Result

from cranberrywall.errors import Refusal
from cranberrywall.links import Method, Peer, Server


class DumpRequest(NamedTuple):
    """Ask for a process's state; empty ``section`` asks for all of it."""

    section: str


class DumpReply(NamedTuple):
    """Carry the state as JSON; ``null`` for a section that the process has not."""

    state: bytes


DUMP = Method("hosts.dump", DumpRequest, DumpReply)


def register_dump(server: Server, dump_json: Callable[[str], bytes]) -> None:
    """Answer ``DUMP`` at ``server`` by ``dump_json``, which gets the section's name."""

    async def answer(request: DumpRequest, peer: Peer) -> Result[DumpReply, Refusal]:
        return Ok(DumpReply(dump_json(request.section)))

    server.register(DUMP, answer)
