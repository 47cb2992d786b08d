"""The call with which other processes, such as the console, read a process's state."""

from collections.abc import Callable
from typing import NamedTuple

from result import Ok, Result

from cranberrywall.errors import Refusal
from cranberrywall.links import Method, Peer, Server


class DumpRequest(NamedTuple):
    """Request for a process's state; an empty ``section`` requests all sections."""

    section: str


class DumpReply(NamedTuple):
    """State as JSON; ``null`` if the process does not have the section."""

    state: bytes


DUMP = Method("hosts.dump", DumpRequest, DumpReply)


def register_dump(server: Server, dump_json: Callable[[str], bytes]) -> None:
    """Register a handler for ``DUMP`` at ``server``.

    ``dump_json`` receives the name of the section and returns the JSON.
    """

    async def answer(request: DumpRequest, peer: Peer) -> Result[DumpReply, Refusal]:
        return Ok(DumpReply(dump_json(request.section)))

    server.register(DUMP, answer)
