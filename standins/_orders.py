"""Take orders, with or without a check of their fencing numbers."""

import asyncio
from typing import Any, NamedTuple, NotRequired, TypedDict


class Order(TypedDict):
    """Hold one order as it came; ``number`` is its fencing number."""

    number: int
    order: str
    version: NotRequired[str]
    adapter: NotRequired[str]
    role: NotRequired[str]


class OrderAnswer(NamedTuple):
    """Give the HTTP status of the answer and its document."""

    status: int
    document: dict[str, Any]


class Orders:
    """Keep what an engine has loaded, and every order it took or refused."""

    def __init__(self, versions: tuple[str, ...], checks_fencing: bool, load_s: float) -> None:
        self.versions = list(versions)
        self.adapters: list[str] = []
        self.role = "both"
        self.highest = 0
        self.taken: list[Order] = []
        self.refused: list[Order] = []
        self._checks_fencing = checks_fencing
        self._load_s = load_s

    async def take(self, order: Order) -> OrderAnswer:
        """Carry out an order and answer when it is done; a checked old number gets 409."""
        if self._checks_fencing and order["number"] < self.highest:
            self.refused.append(order)
            return OrderAnswer(409, {"error": "old number", "highest": self.highest})
        self.highest = max(self.highest, order["number"])
        self.taken.append(order)
        return await self._carry_out(order)

    async def _carry_out(self, order: Order) -> OrderAnswer:
        match order:
            case {"order": "load", "version": version}:
                await asyncio.sleep(self._load_s)
                _add(self.versions, version)
            case {"order": "unload", "version": version}:
                _remove(self.versions, version)
            case {"order": "adapter", "adapter": adapter}:
                await asyncio.sleep(self._load_s)
                _add(self.adapters, adapter)
            case {"order": "role", "role": role}:
                self.role = role
            case _:
                return OrderAnswer(400, {"error": f"unknown order {order}"})
        return OrderAnswer(200, {"number": order["number"], "versions": self.versions})


def _add(names: list[str], name: str) -> None:
    if name not in names:
        names.append(name)


def _remove(names: list[str], name: str) -> None:
    if name in names:
        names.remove(name)
