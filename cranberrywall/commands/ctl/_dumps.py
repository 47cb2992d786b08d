"""Ask hosts of the fleet for their state over the streams."""

import asyncio
from collections.abc import Iterable
from typing import Any

import msgspec
from result import Err, Result

from cranberrywall.commands.ctl._session import Session
from cranberrywall.errors import Refusal
from cranberrywall.hosts import DUMP, DumpRequest

ASK_TIMEOUT_S = 2.0
"""How long one host may take to answer, in seconds; a host that is down must not delay all."""


async def ask_state(session: Session, links: str, section: str) -> Result[Any, Refusal]:
    """Return a section of a host's state, ``None`` where it has none; all where it is empty."""
    timeout = min(ASK_TIMEOUT_S, session.timeout)
    reply = await session.caller.call(links, DUMP, DumpRequest(section), timeout)
    return reply.map(lambda dumped: msgspec.json.decode(dumped.state))


async def ask_states(
    session: Session, links_by_host: dict[str, str], section: str
) -> dict[str, Result[Any, Refusal]]:
    """Return the section of every host, asked side by side."""
    answers = await asyncio.gather(
        *(ask_state(session, links, section) for links in links_by_host.values())
    )
    return dict(zip(links_by_host, answers, strict=True))


def first_refusal(answers: Iterable[Result[Any, Refusal]]) -> Refusal | None:
    """Return one refusal where no answer came at all."""
    refusals = []
    for answer in answers:
        if not isinstance(answer, Err):
            return None
        refusals.append(answer.err_value)
    return refusals[0] if refusals else None
