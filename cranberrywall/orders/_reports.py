"""Bring what engines announce at entry hosts to the control hosts.

Each entry host reports the engines that announce themselves to it at first hand, and the
requests that wait at it, so that a report's size does not grow with the fleet.
"""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from result import Ok, Result

from cranberrywall.errors import Refusal
from cranberrywall.links import Caller, Method, Peer, Server
from cranberrywall.orders._engines import Copy, EngineView
from cranberrywall.runtime import Clock
from cranberrywall.targets import Announcement

REPORT_EVERY_S = 2.0
REPORT_EVERY_WITHOUT_MODELS_S = 8.0
"""Interval of reports while the configuration names no model: nothing is planned, and reports only
serve to close orders that are still open. It is below ``REPORT_TTL_S``."""

REPORT_TIMEOUT_S = 1.0
REPORT_TTL_S = 10.0
"""An engine or an entry host that was not reported for so long does not count."""

SLOTS = 2
"""Copies that an engine which does not say is taken to hold: a new version beside the old."""


class Report(NamedTuple):
    """Carry new announcements of engines, and by model the requests that wait here."""

    announcements: tuple[Announcement, ...]
    waiting: dict[str, float]


class Reported(NamedTuple):
    """Answer a report."""


REPORT = Method("orders.report", Report, Reported)


class EngineReporter:
    """Collect on an entry host what to report, and send it to every control host.

    Every control host gets it, since any of them may become the leader, and one that
    begins to lead must not decide on nothing.
    """

    def __init__(
        self,
        caller: Caller,
        clock: Clock,
        controls: Callable[[], Sequence[str]],
        waiting: Callable[[], Mapping[str, float]] = dict,
        has_models: Callable[[], bool] = lambda: True,
    ) -> None:
        """Create a reporter; ``has_models`` returns whether the configuration names any model."""
        self._has_models = has_models
        self._caller = caller
        self._clock = clock
        self._controls = controls
        self._waiting = waiting
        self._newest_by_target: dict[str, Announcement] = {}

    def note(self, announcement: Announcement) -> None:
        """Take in an announcement that came at first hand."""
        if announcement.kind == "engine":
            small = announcement._replace(cache_events=())
            self._newest_by_target[announcement.target] = small

    async def run(self) -> None:
        """Report in each period, until cancelled."""
        while True:
            await self._clock.sleep(self._interval_s())
            report = Report(tuple(self._newest_by_target.values()), dict(self._waiting()))
            self._newest_by_target.clear()
            await asyncio.gather(
                *(
                    self._caller.call(links, REPORT, report, REPORT_TIMEOUT_S)
                    for links in self._controls()
                )
            )

    def _interval_s(self) -> float:
        return REPORT_EVERY_S if self._has_models() else REPORT_EVERY_WITHOUT_MODELS_S


class _Heard(NamedTuple):
    announcement: Announcement
    at: float


class _Waiting(NamedTuple):
    by_model: dict[str, float]
    at: float


class EngineReports:
    """Hold on a control host what entry hosts report; it implements ``Engines``."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heard_by_target: dict[str, _Heard] = {}
        self._waiting_by_host: dict[str, _Waiting] = {}

    def register(self, server: Server) -> None:
        """Take reports at ``server``."""
        server.register(REPORT, self._take)

    def engines(self, now: float) -> list[EngineView]:
        """Return the engines that announce themselves."""
        self._expire(now)
        return [_view(heard.announcement) for heard in self._heard_by_target.values()]

    def demand(self, now: float) -> dict[str, float]:
        """Return by model the requests that run or wait, at engines and at entry hosts."""
        self._expire(now)
        demand: dict[str, float] = {}
        for heard in self._heard_by_target.values():
            load = heard.announcement.load
            if load is not None:
                name = heard.announcement.name
                demand[name] = demand.get(name, 0.0) + load.running + load.waiting
        for waiting in self._waiting_by_host.values():
            for name, count in waiting.by_model.items():
                demand[name] = demand.get(name, 0.0) + count
        return demand

    async def _take(self, report: Report, peer: Peer) -> Result[Reported, Refusal]:
        now = self._clock.now()
        self._waiting_by_host[peer.host] = _Waiting(report.waiting, now)
        for announcement in report.announcements:
            heard = self._heard_by_target.get(announcement.target)
            # Reports of two entry hosts may cross: an older state must not come back.
            if heard is None or _order(announcement) > _order(heard.announcement):
                self._heard_by_target[announcement.target] = _Heard(announcement, now)
        return Ok(Reported())

    def _expire(self, now: float) -> None:
        oldest = now - REPORT_TTL_S
        self._heard_by_target = {
            target: heard for target, heard in self._heard_by_target.items() if heard.at > oldest
        }
        self._waiting_by_host = {
            host: waiting for host, waiting in self._waiting_by_host.items() if waiting.at > oldest
        }


def _order(announcement: Announcement) -> tuple[int, bool, int]:
    return (announcement.incarnation, announcement.leaving, announcement.counter)


def _view(announcement: Announcement) -> EngineView:
    name = announcement.name
    return EngineView(
        announcement.target,
        announcement.incarnation,
        announcement.counter,
        announcement.place,
        announcement.url,
        announcement.checks_fencing,
        frozenset(Copy(name, version) for version in announcement.versions),
        frozenset(announcement.adapters),
        frozenset(announcement.models or (name,)),
        announcement.slots or max(SLOTS, len(announcement.versions)),
        announcement.capacity,
        announcement.leaving,
        # An announcement names one model, so no engine serves two side by side.
        one_model=True,
    )
