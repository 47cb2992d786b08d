"""Commit one change at a time: one sync and one round to the followers for each."""

import asyncio

from result import Ok

from cranberrywall.replication import Group

_TIMEOUT_S = 60.0


class Unbatched:
    """Begin a change only when the one before it is committed."""

    def __init__(self, group: Group) -> None:
        self._group = group
        self._turn = asyncio.Lock()

    async def propose(self, command: bytes) -> bool:
        async with self._turn:
            return isinstance(await self._group.propose(command, _TIMEOUT_S), Ok)
