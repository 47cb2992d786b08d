"""Take orders, with or without a check of their fencing numbers."""

import asyncio
from typing import Any, NamedTuple, NotRequired, TypedDict


class Order(TypedDict):
    """Hold one order as it came; ``number`` is its fencing number."""

    number: int
    order: str
    model: NotRequired[str]
    version: NotRequired[str]
    adapter: NotRequired[str]
    role: NotRequired[str]


class OrderAnswer(NamedTuple):
    """Give the HTTP status of the answer and its document."""

    status: int
    document: dict[str, Any]


class Orders:
    """Keep what an engine has loaded, and every order it took or refused."""

    def __init__(
        self,
        model: str,
        models: tuple[str, ...],
        versions: tuple[str, ...],
        checks_fencing: bool,
        load_s: float,
        slots: int = 0,
    ) -> None:
        self.model = model
        self.models = models
        self.model_moves = 0
        self.versions = list(versions)
        self.adapters: list[str] = []
        self.role = "both"
        self.highest = 0
        self.taken: list[Order] = []
        self.refused: list[Order] = []
        self._checks_fencing = checks_fencing
        self._load_s = load_s
        self._slots = slots
        self._carrying_out = asyncio.Lock()

    async def take(self, order: Order) -> OrderAnswer:
        """Carry out an order and answer when it is done; a checked old number gets 409."""
        if self._checks_fencing and order["number"] < self.highest:
            self.refused.append(order)
            return OrderAnswer(409, {"error": "old number", "highest": self.highest})
        self.highest = max(self.highest, order["number"])
        self.taken.append(order)
        # One at a time, in the order of arrival: an unload must not overtake the load before
        # it, or that load would undo it.
        async with self._carrying_out:
            return await self._carry_out(order)

    async def _carry_out(self, order: Order) -> OrderAnswer:
        model = order.get("model", self.model)
        if model not in self.models:
            return OrderAnswer(400, {"error": f"this engine cannot load {model}"})
        match order:
            case {"order": "load", "version": version}:
                if self._is_full(model, version):
                    return OrderAnswer(400, {"error": f"{self._slots} versions are loaded"})
                await asyncio.sleep(self._load_s)
                self._serve(model)
                _add(self.versions, version)
            case {"order": "unload", "version": version}:
                if model == self.model:
                    _remove(self.versions, version)
            case {"order": "adapter", "adapter": adapter}:
                if model != self.model:
                    return OrderAnswer(400, {"error": f"{model} is not loaded"})
                await asyncio.sleep(self._load_s)
                _add(self.adapters, adapter)
            case {"order": "role", "role": role}:
                self.role = role
            case _:
                return OrderAnswer(400, {"error": f"unknown order {order}"})
        return OrderAnswer(200, {"number": order["number"], "versions": self.versions})

    def _is_full(self, model: str, version: str) -> bool:
        if not self._slots or model != self.model or version in self.versions:
            return False
        return len(self.versions) >= self._slots

    def _serve(self, model: str) -> None:
        """Drop what belongs to another model than ``model``."""
        if model != self.model:
            self.model = model
            self.model_moves += 1
            self.versions.clear()
            self.adapters.clear()


def _add(names: list[str], name: str) -> None:
    if name not in names:
        names.append(name)


def _remove(names: list[str], name: str) -> None:
    if name in names:
        names.remove(name)
