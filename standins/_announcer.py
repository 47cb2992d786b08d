"""Announce a stand-in to the entry hosts, and renew until it leaves."""

import asyncio
import time
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import aiohttp

RENEW_EVERY_S = 2.0
CALL_TIMEOUT_S = 2.0
ANNOUNCE_PATH = "/v1/targets/announce"


class AnnounceOptions(NamedTuple):
    """Name the entry hosts' HTTP addresses, as URLs, and the fleet's target key."""

    entries: Sequence[str]
    key: str
    renew_every_s: float = RENEW_EVERY_S


class Announcer:
    """Tell one entry host at a time, and move on to the next where it does not answer."""

    def __init__(self, options: AnnounceOptions, describe: Callable[[], dict[str, Any]]) -> None:
        self._options = options
        self._describe = describe
        self._incarnation = int(time.time() * 1000)
        self._counter = 0
        self._current = 0
        self._session: aiohttp.ClientSession | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to announce."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
            headers={"Authorization": f"Bearer {self._options.key}"},
        )
        self._task = asyncio.create_task(self._renew(), name="stand-in announcer")

    async def leave(self) -> None:
        """Stop renewing and tell every entry host that this target is leaving."""
        await self._stop_renewing()
        document = self._next_document(leaving=True)
        await asyncio.gather(*(self._post(entry, document) for entry in self._options.entries))

    async def close(self) -> None:
        """Stop without a word, as after a crash."""
        await self._stop_renewing()
        if self._session is not None:
            await self._session.close()

    async def _stop_renewing(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    async def _renew(self) -> None:
        while True:
            await self._announce_to_one(self._next_document(leaving=False))
            await asyncio.sleep(self._options.renew_every_s)

    async def _announce_to_one(self, document: dict[str, Any]) -> None:
        entries = self._options.entries
        for _ in range(len(entries)):
            if await self._post(entries[self._current % len(entries)], document):
                return
            self._current += 1

    async def _post(self, entry: str, document: dict[str, Any]) -> bool:
        assert self._session is not None
        try:
            async with self._session.post(f"{entry}{ANNOUNCE_PATH}", json=document) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    def _next_document(self, leaving: bool) -> dict[str, Any]:
        self._counter += 1
        return {
            **self._describe(),
            "incarnation": self._incarnation,
            "counter": self._counter,
            "leaving": leaving,
        }
