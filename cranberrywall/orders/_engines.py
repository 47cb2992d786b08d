"""Describe the engines and the demand as the leader of the configuration group knows them."""

from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import NamedTuple, Protocol

from cranberrywall.orders.messages import Action, OpenOrder, Removed


class Copy(NamedTuple):
    """Name a version of a model that an engine has loaded."""

    model: str
    version: str


class EngineView(NamedTuple):
    """Describe one engine by its latest announcement.

    ``counter`` orders the announcements of one ``incarnation``. ``models`` are those that
    it can load, ``slots`` is how many copies it can hold, ``capacity`` how many requests it
    serves at once. One that holds ``one_model`` at a time drops its copies of any other
    when it has loaded one.
    """

    target: str
    incarnation: int
    counter: int
    place: str
    url: str
    checks_fencing: bool
    copies: frozenset[Copy]
    adapters: frozenset[str]
    models: frozenset[str]
    slots: int
    capacity: int
    leaving: bool
    one_model: bool = False


class Engines(Protocol):
    """Know the engines and what is asked of the models."""

    def engines(self, now: float) -> Sequence[EngineView]:
        """Return the engines that announce themselves."""
        ...

    def demand(self, now: float) -> Mapping[str, float]:
        """Return by model how many requests run or wait."""
        ...


def outside_places(
    engines: Iterable[EngineView], places: Collection[str]
) -> tuple[EngineView, ...]:
    """Return the engines that are in none of ``places``."""
    return tuple(engine for engine in engines if engine.place not in places)


def without_removed(
    engines: Iterable[EngineView], removed: Iterable[Removed]
) -> tuple[EngineView, ...]:
    """Return the engines less the copies that committed orders may have removed.

    An announcement is older than the order that it does not show yet. Counting a copy
    that is already ordered away would let the next order take the last one. It does not
    count in a later run of the engine either, which the order may reach as well.
    """
    gone: dict[str, set[Copy]] = {}
    for copy in removed:
        gone.setdefault(copy.target, set()).add(Copy(copy.model, copy.version))
    return tuple(
        engine._replace(copies=engine.copies - gone.get(engine.target, frozenset()))
        for engine in engines
    )


def without_replaced(
    engines: Iterable[EngineView], pending: Iterable[OpenOrder]
) -> tuple[EngineView, ...]:
    """Return the engines less the copies that a pending load may replace.

    An engine gets a load of another model only once it is empty, but one that restarts
    meanwhile may come back with the model it began with. If that copy counted, the last
    other copy of that model could be ordered away before the load arrives and takes it.
    """
    loading = {order.target: order.action.model for order in pending if order.action.kind == "load"}
    return tuple(
        (
            engine._replace(
                copies=frozenset(
                    copy for copy in engine.copies if copy.model == loading[engine.target]
                )
            )
            if engine.one_model and engine.target in loading
            else engine
        )
        for engine in engines
    )


def shows_effect(engine: EngineView, order: OpenOrder) -> bool:
    """Say whether the engine's announcement shows that ``order`` was carried out.

    Only an announcement after the one by which the order was decided counts, and only of
    the same run: in that one the effect was not there, and no other order was open since.
    That it showed what came of the order before it, ``Settling`` sees to. It does not
    hold for an order that was committed while another to the engine was open.
    """
    if engine.incarnation != order.incarnation or engine.counter <= order.counter:
        return False
    return has_effect(engine, order.action)


def has_effect(engine: EngineView, action: Action) -> bool:
    """Say whether ``engine`` already is as ``action`` would make it."""
    copy = Copy(action.model, action.version)
    if action.kind == "load":
        return copy in engine.copies
    if action.kind == "unload":
        return copy not in engine.copies
    return action.adapter in engine.adapters
