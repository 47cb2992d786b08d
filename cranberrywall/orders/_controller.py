"""Give orders to engines while this host leads the configuration group."""

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from result import Err, Ok

from cranberrywall.configuration import Document, evacuated_places
from cranberrywall.links import Server
from cranberrywall.observability import log_event
from cranberrywall.orders._engines import (
    Copy,
    Engines,
    EngineView,
    has_effect,
    outside_places,
    without_removed,
    without_replaced,
)
from cranberrywall.orders._evidence import EvidenceFinder, Finding
from cranberrywall.orders._outbox import Outbox
from cranberrywall.orders._plan import DEFAULT_CONCURRENT_LOADS, Step, make_plan
from cranberrywall.orders._settling import Settling
from cranberrywall.orders.messages import (
    ORDERS_CODEC,
    Action,
    Close,
    Evidence,
    GetOrders,
    Issue,
    Issued,
    NotIssued,
    OpenOrder,
    OrdersView,
    Removed,
    Retain,
)
from cranberrywall.replication import Group
from cranberrywall.runtime import Clock

PROPOSE_TIMEOUT_S = 5.0


class OrderTimes(NamedTuple):
    """Pace the controller, in seconds.

    ``load_limit`` is longer than any load takes; ``retain_after`` is longer than an
    announcement is late.
    """

    period: float = 1.0
    load_limit: float = 1800.0
    retain_after: float = 60.0


class OrderController:
    """Decide, commit, send and close orders; idle on a host that does not lead."""

    def __init__(
        self,
        group: Group,
        engines: Engines,
        document: Callable[[], Document],
        outbox: Outbox,
        finder: EvidenceFinder,
        clock: Clock,
        times: OrderTimes,
    ) -> None:
        self._group = group
        self._engines = engines
        self._document = document
        self._outbox = outbox
        self._finder = finder
        self._clock = clock
        self._times = times
        self._count = 0
        self._settling = Settling(times.retain_after)
        self._kept_since: dict[Removed, float] = {}
        self.waiting: list[str] = []

    def register(self, server: Server) -> None:
        """Answer successors' questions at ``server``."""
        self._outbox.register(server)

    async def run(self) -> None:
        """Act in each period while this host leads, until cancelled."""
        while True:
            if self._group.is_leader:
                await self.act(self._clock.now())
            else:
                self.waiting = []
            await self._clock.sleep(self._times.period)

    async def close(self) -> None:
        """Abort what is being sent."""
        await self._outbox.close()

    def state(self) -> dict[str, Any]:
        """Return what a state dump shows: above all, why something waits."""
        return {"leads": self._group.is_leader, "waiting": list(self.waiting)}

    async def act(self, now: float) -> None:
        """Close what is finished, then take the next steps of the plan."""
        view = await self._read()
        if view is None:
            return
        announced = {engine.target: engine for engine in self._engines.engines(now)}
        findings = await self._finder.find(view.open_orders, announced, now)
        waiting = [_explain(finding) for finding in findings if finding.evidence is None]
        for finding in findings:
            if finding.evidence is not None:
                await self._close(finding.order, finding.evidence)
        await self._retain_kept(view, announced, now)
        await self._fence(findings, announced)
        waiting += await self._take_steps(announced, now)
        self._note(waiting)

    async def _read(self) -> OrdersView | None:
        # A linearizable read: a leader that was deposed without knowing it gets none, and
        # decides nothing on state that its successor has changed.
        result = await self._group.query(ORDERS_CODEC.encode(GetOrders()), PROPOSE_TIMEOUT_S)
        if isinstance(result, Err):
            return None
        view = ORDERS_CODEC.decode(result.ok_value)
        return view if isinstance(view, OrdersView) else None

    async def _take_steps(self, announced: dict[str, EngineView], now: float) -> list[str]:
        view = await self._read()
        if view is None:
            return []
        document = self._document()
        usable = outside_places(
            without_removed(announced.values(), view.removed), evacuated_places(document)
        )
        demand = self._engines.demand(now)
        pending = [*view.open_orders, *self._settling.find(view.closed_orders, announced, now)]
        usable = without_replaced(usable, pending)
        plan = make_plan(document, usable, demand, pending, self._concurrent_loads())
        waiting = list(plan.waiting)
        for step in plan.steps:
            # What the engine already announces could later pass for this order's effect.
            if not has_effect(announced[step.target], step.action):
                waiting += await self._order(step, announced[step.target])
        return waiting

    async def _order(self, step: Step, engine: EngineView) -> Sequence[str]:
        """Commit one order, then send it; return why not, where it has to wait."""
        issuer = self._outbox.issuer
        self._count += 1
        order_id = f"{issuer.host}/{issuer.incarnation}/{self._count}"
        answer = await self._commit(order_id, step, engine)
        if not isinstance(answer, Issued) or not self._group.is_leader:
            # The order may be committed all the same. It is barred here, so that this
            # process can vouch for it that it never goes out.
            self._outbox.fate(order_id)
            return [f"{engine.target}: {answer.reason}"] if isinstance(answer, NotIssued) else []
        self._outbox.start(order_id, engine.url, answer.number, step.action, self._times.load_limit)
        log_event(
            "INFO",
            "order_sent",
            number=answer.number,
            target=engine.target,
            kind=step.action.kind,
            model=step.action.model,
            version=step.action.version,
        )
        return []

    async def _commit(
        self, order_id: str, step: Step, engine: EngineView
    ) -> Issued | NotIssued | None:
        """Return the group's answer, or ``None`` where it is not known."""
        command = Issue(
            order_id=order_id,
            issuer=self._outbox.issuer,
            target=engine.target,
            incarnation=engine.incarnation,
            counter=engine.counter,
            checks_fencing=engine.checks_fencing,
            action=step.action,
            concurrent_loads=self._concurrent_loads(),
            at=self._clock.wall(),
        )
        result = await self._group.propose(ORDERS_CODEC.encode(command), PROPOSE_TIMEOUT_S)
        answer = ORDERS_CODEC.decode(result.ok_value) if isinstance(result, Ok) else None
        return answer if isinstance(answer, Issued | NotIssued) else None

    def _concurrent_loads(self) -> int:
        store = self._document().get("weight_store")
        return store["concurrent_loads"] if store else DEFAULT_CONCURRENT_LOADS

    async def _close(self, order: OpenOrder, evidence: Evidence) -> None:
        host = self._outbox.issuer.host
        command = Close(order.number, evidence, host, self._clock.wall())
        await self._group.propose(ORDERS_CODEC.encode(command), PROPOSE_TIMEOUT_S)

    async def _fence(self, findings: Sequence[Finding], announced: dict[str, EngineView]) -> None:
        """Bar a predecessor's order from an engine that checks numbers.

        Nothing says whether it was sent. A higher number makes the engine refuse it from
        now on: a load is ordered anew, and keeps its permit; against an unload, which may
        be unwanted by now, goes a load of what the engine already has.
        """
        for finding in findings:
            order, engine = finding.order, announced.get(finding.order.target)
            is_foreign = order.issuer != self._outbox.issuer
            if finding.evidence is not None or not is_foreign or engine is None:
                continue
            if order.checks_fencing and engine.checks_fencing:
                await self._order(Step(engine.target, _barring(order, engine)), engine)

    async def _retain_kept(
        self, view: OrdersView, announced: dict[str, EngineView], now: float
    ) -> None:
        """Count a copy again that an order did not remove after all."""
        open_targets = {order.target for order in view.open_orders}
        kept_since: dict[Removed, float] = {}
        for copy in view.removed:
            engine = announced.get(copy.target)
            if engine is None or copy.target in open_targets:
                continue
            if (copy.model, copy.version) in engine.copies:
                kept_since[copy] = self._kept_since.get(copy, now)
        self._kept_since = kept_since
        for copy, since in kept_since.items():
            if now - since >= self._times.retain_after:
                command = Retain(copy, self._clock.wall())
                await self._group.propose(ORDERS_CODEC.encode(command), PROPOSE_TIMEOUT_S)

    def _note(self, waiting: list[str]) -> None:
        for reason in waiting:
            if reason not in self.waiting:
                log_event("INFO", "order_waits", reason=reason)
        self.waiting = waiting


def _barring(order: OpenOrder, engine: EngineView) -> Action:
    if order.action.kind != "unload":
        return order.action
    unloaded = Copy(order.action.model, order.action.version)
    kept = sorted(engine.copies - {unloaded}) or [unloaded]
    return Action("load", *kept[0])


def _explain(finding: Finding) -> str:
    order = finding.order
    return (
        f"{order.target}: order {order.number} ({order.action.kind} {order.action.model})"
        f" is open: {finding.reason}"
    )
