"""Decide which model, version and adapter goes to which engine.

The plan follows demand and moves few things: a copy stays where it is until its slot is
needed or its version is replaced, and the last copies that serve a model stay in any case.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from cranberrywall.configuration import Document, Model
from cranberrywall.orders._engines import Copy, EngineView
from cranberrywall.orders.messages import Action, OpenOrder

TARGET_USE = 0.7
"""Share of the copies' capacity that demand should take."""

LOW_USE = 0.4
"""Share below which a model has more copies than it needs; between, nothing moves."""

DEFAULT_CONCURRENT_LOADS = 2
"""Loads at once that a weight store carries where the document does not say."""

OUT_AT_ONCE = 4
"""One of so many of a model's copies may be away at once, but at least one copy stays."""


class Step(NamedTuple):
    """Name one order to give."""

    target: str
    action: Action


class Plan(NamedTuple):
    """List steps, most needed first, and what cannot be done now, with the reason."""

    steps: tuple[Step, ...]
    waiting: tuple[str, ...]


class Need(NamedTuple):
    """Say how many copies a model is to have, and how many it has or will have.

    ``most`` is how many it may keep without being asked for them.
    """

    name: str
    copy: Copy
    wanted: int
    most: int
    present: int
    demand: float


def make_plan(
    document: Document,
    engines: Sequence[EngineView],
    demand: Mapping[str, float],
    pending: Sequence[OpenOrder],
    concurrent_loads: int = DEFAULT_CONCURRENT_LOADS,
) -> Plan:
    """Return the steps that lead nearer to what the document and the demand ask for.

    ``engines`` are without the copies that committed orders may have removed: an unload
    that is under way, or was committed by a predecessor and arrives late, is counted as
    carried out. ``pending`` are the orders whose outcome the announcements do not show
    yet; their engines get no step, so that each step is decided on what it will find.
    No more engines are emptied for another model than ``concurrent_loads`` can fill.
    """
    return _Planner(document, engines, demand, pending, concurrent_loads).plan()


class _Planner:
    def __init__(
        self,
        document: Document,
        engines: Sequence[EngineView],
        demand: Mapping[str, float],
        pending: Sequence[OpenOrder],
        concurrent_loads: int,
    ) -> None:
        self._concurrent_loads = concurrent_loads
        self._models = document["models"]
        self._engines = [engine for engine in engines if not engine.leaving]
        self._demand = demand
        self._pending = pending
        self._busy = {order.target for order in pending}
        self._steps: list[Step] = []
        self._waiting: list[str] = []
        self._rooms_coming = sum(order.action.kind == "unload" for order in pending)
        self._need_by_model = {name: self._need(name) for name in self._models}

    def plan(self) -> Plan:
        self._add_copies()
        self._replace_versions()
        self._add_adapters()
        return Plan(tuple(self._steps), tuple(self._waiting))

    def _add_copies(self) -> None:
        """Add one copy at a time to the model that needs it most by then."""
        short = {
            name: need for name, need in self._need_by_model.items() if need.present < need.wanted
        }
        while short:
            need = min(short.values(), key=_urgency)
            more = need._replace(present=need.present + 1)
            if self._add_copy(need) and more.present < more.wanted:
                short[need.name] = more
            else:
                del short[need.name]

    def _need(self, name: str) -> Need:
        model = self._models[name]
        copy = Copy(name, model["version"])
        loading = {
            order.target
            for order in self._pending
            if order.action.kind == "load" and _copy_of(order.action) == copy
        }
        holders = {engine.target for engine in self._engines if copy in engine.copies}
        demand = self._demand.get(name, 0.0)
        capacity = self._usual_capacity()
        floor = model.get("copies", 1)
        wanted = min(
            max(floor, math.ceil(demand / (capacity * TARGET_USE))), max(1, len(self._engines))
        )
        most = max(wanted, math.ceil(demand / (capacity * LOW_USE)))
        return Need(name, copy, wanted, most, len(holders | loading), demand)

    def _usual_capacity(self) -> float:
        capacities = sorted(engine.capacity for engine in self._engines)
        return float(capacities[len(capacities) // 2]) if capacities else 1.0

    def _add_copy(self, need: Need) -> bool:
        """Add a step towards one more copy; return whether one more may be tried."""
        candidates = [
            engine
            for engine in self._free_engines()
            if need.name in engine.models and need.copy not in engine.copies
        ]
        with_room = [engine for engine in candidates if _has_room(engine, need.name)]
        if with_room:
            engine = min(with_room, key=lambda engine: self._preference(engine, need))
            self._take(engine, Action("load", *need.copy))
            return True
        return self._make_room(need, candidates)

    def _make_room(self, need: Need, candidates: Iterable[EngineView]) -> bool:
        if self._rooms_coming > 0:
            # An earlier unload is pending; another one now would free a slot too many.
            self._rooms_coming -= 1
            return True
        for engine in candidates:
            for copy in sorted(engine.copies):
                if self._is_spare(copy, need) and self._may_unload(engine, copy):
                    if copy.model != need.name and not self._may_move():
                        # An engine that is emptied before the store can fill it stands idle.
                        return False
                    self._unload(engine, copy)
                    return True
        self._waiting.append(
            f"{need.name}: {need.present} of {need.wanted} copies, and no engine has room"
            " without taking a copy that is needed"
        )
        return False

    def _may_move(self) -> bool:
        under_way = [order.action for order in self._pending]
        under_way += [step.action for step in self._steps]
        return sum(one.kind != "adapter" for one in under_way) < self._concurrent_loads

    def _preference(self, engine: EngineView, need: Need) -> tuple[int, int, int, str]:
        """Prefer engines that hold another version, in places with few copies."""
        holds_model = any(copy.model == need.name for copy in engine.copies)
        in_place = sum(
            need.copy in other.copies for other in self._engines if other.place == engine.place
        )
        return (0 if holds_model else 1, in_place, len(engine.copies), engine.target)

    def _is_spare(self, copy: Copy, need: Need) -> bool:
        """Say whether a copy may make room for ``need``."""
        owner = self._need_by_model.get(copy.model)
        if owner is None or copy != owner.copy:
            return True
        return owner.present > owner.most and owner.name != need.name

    def _may_unload(self, engine: EngineView, copy: Copy) -> bool:
        """Say whether enough copies that serve the model stay, on any engine."""
        others = sum(
            any(held.model == copy.model for held in other.copies)
            for other in self._engines
            if other.target != engine.target
        )
        same_engine = any(held.model == copy.model and held != copy for held in engine.copies)
        return others + same_engine >= self._kept(copy.model)

    def _kept(self, model: str) -> int:
        need = self._need_by_model.get(model)
        if need is None:
            return 0
        return max(1, need.wanted - max(1, need.wanted // OUT_AT_ONCE))

    def _replace_versions(self) -> None:
        """Unload other versions once the document's is on as many engines as wanted."""
        for engine in self._free_engines():
            for copy in sorted(engine.copies):
                need = self._need_by_model.get(copy.model)
                if need is not None and copy != need.copy and self._holders(need) >= need.wanted:
                    self._unload(engine, copy)
                    break

    def _holders(self, need: Need) -> int:
        return sum(need.copy in engine.copies for engine in self._engines)

    def _add_adapters(self) -> None:
        for engine in self._free_engines():
            for copy in sorted(engine.copies):
                missing = _missing_adapters(self._models.get(copy.model), engine)
                if missing:
                    action = Action("adapter", copy.model, copy.version, missing[0])
                    self._take(engine, action)
                    break

    def _free_engines(self) -> list[EngineView]:
        return [engine for engine in self._engines if engine.target not in self._busy]

    def _unload(self, engine: EngineView, copy: Copy) -> None:
        # From here on the copy does not count, so that the next step leaves enough too.
        left = engine._replace(copies=engine.copies - {copy})
        self._engines = [left if one is engine else one for one in self._engines]
        owner = self._need_by_model.get(copy.model)
        if owner is not None and owner.copy == copy:
            self._need_by_model[copy.model] = owner._replace(present=owner.present - 1)
        self._take(engine, Action("unload", *copy))

    def _take(self, engine: EngineView, action: Action) -> None:
        self._busy.add(engine.target)
        self._steps.append(Step(engine.target, action))


def _has_room(engine: EngineView, model: str) -> bool:
    """Say whether a copy of ``model`` can be loaded without taking another one."""
    if engine.one_model and any(copy.model != model for copy in engine.copies):
        return False
    return len(engine.copies) < engine.slots


def _urgency(need: Need) -> tuple[bool, float, str]:
    """Order models without any copy first, then by what each copy must carry."""
    return (need.present > 0, -need.demand / max(1, need.present), need.name)


def _copy_of(action: Action) -> Copy:
    return Copy(action.model, action.version)


def _missing_adapters(model: Model | None, engine: EngineView) -> list[str]:
    if model is None:
        return []
    return [name for name in model.get("adapters", []) if name not in engine.adapters]
