"""Keep a caller's list of addresses, as long as it may, and choose among them."""

from typing import NamedTuple, TypedDict

import aiohttp
import msgspec

from cranberrywall.runtime import Clock, Random

REFRESH_TIMEOUT_S = 5.0


class _Address(TypedDict):
    url: str
    weight: float


class _Addresses(TypedDict):
    addresses: list[_Address]
    ttl_s: float


class Weighted(NamedTuple):
    """Hold an entry host's URL and its weight."""

    url: str
    weight: float


class AddressBook:
    """Ask an entry host for addresses, and keep the answer.

    ``keep_s`` replaces the time to live that the answer names, for callers that keep
    addresses too long.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        entries: list[str],
        clock: Clock,
        random: Random,
        keep_s: float | None,
    ) -> None:
        self._session = session
        self._entries = entries
        self._clock = clock
        self._random = random
        self._keep_s = keep_s
        self._kept: list[Weighted] = []
        self._kept_until = 0.0

    async def choose(self, avoid: frozenset[str]) -> str:
        """Return a URL by weight, outside ``avoid`` where there is one."""
        if self._clock.now() >= self._kept_until:
            await self._refresh(avoid)
        kept = self._kept or [Weighted(url, 1.0) for url in self._entries]
        usable = [address for address in kept if address.url not in avoid] or kept
        return self._draw(usable)

    def forget(self) -> None:
        """Ask anew before the next choice: an address did not answer."""
        self._kept_until = 0.0

    async def _refresh(self, avoid: frozenset[str]) -> None:
        known = [address.url for address in self._kept] + self._entries
        ordered = [url for url in known if url not in avoid] + self._entries
        for url in dict.fromkeys(ordered):
            answer = await self._ask(url)
            if answer is not None and answer["addresses"]:
                self._keep(answer)
                return

    def _keep(self, answer: _Addresses) -> None:
        self._kept = [
            Weighted(address["url"], max(address["weight"], 0.0)) for address in answer["addresses"]
        ]
        ttl_s = answer["ttl_s"] if self._keep_s is None else self._keep_s
        self._kept_until = self._clock.now() + ttl_s

    async def _ask(self, url: str) -> _Addresses | None:
        timeout = aiohttp.ClientTimeout(total=REFRESH_TIMEOUT_S)
        try:
            async with self._session.get(f"{url}/v1/addresses", timeout=timeout) as response:
                if response.status != 200:
                    return None
                return msgspec.json.decode(await response.read(), type=_Addresses)
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
            return None

    def _draw(self, addresses: list[Weighted]) -> str:
        left = self._random.random() * sum(address.weight for address in addresses)
        for address in addresses:
            left -= address.weight
            if left < 0:
                return address.url
        return addresses[-1].url
