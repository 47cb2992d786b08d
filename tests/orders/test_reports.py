"""Check what control hosts learn of engines and demand through entry hosts."""

import asyncio
from typing import Any

from cranberrywall.links import Peer
from cranberrywall.orders import Copy, EngineReporter, EngineReports
from cranberrywall.orders._reports import REPORT, REPORT_EVERY_S, REPORT_TTL_S, SLOTS, Report
from cranberrywall.targets import Announcement, CacheEvent, Load
from tests.fakes.clock import ManualClock


def make_announcement(counter: int, **changes: Any) -> Announcement:
    announcement = Announcement(
        "engine-1", 1, counter, "engine", "letters", "kranj", "http://1.2.3.4:5", 8, ("v1",),
        load=Load(3, 2, 0.0),
    )  # fmt: skip
    return announcement._replace(**changes)


class ControlSide:
    """Pass calls to the reports of one control host."""

    def __init__(self, clock: ManualClock) -> None:
        self.reports = EngineReports(clock)
        self.requests: list[Report] = []
        self.reports.register(self)

    def register(self, method: Any, handler: Any) -> None:
        self.handler = handler

    async def call(self, address: str, method: Any, request: Any, timeout: float) -> Any:
        self.requests.append(request)
        assert method is REPORT
        return await self.handler(request, Peer("entry-1", "", 1))


async def test_engines_and_demand_reach_control_and_expire() -> None:
    clock = ManualClock()
    control = ControlSide(clock)
    reporter = EngineReporter(control, clock, lambda: ["control-1"], lambda: {"letters": 4.0})
    task = asyncio.create_task(reporter.run())
    reporter.note(make_announcement(1, cache_events=(CacheEvent(1, "add", b"12345678"),)))
    reporter.note(make_announcement(2, kind="service", target="service-1"))
    await clock.advance(REPORT_EVERY_S)
    assert control.requests[0].announcements == (make_announcement(1),)
    (engine,) = control.reports.engines(clock.now())
    assert (set(engine.copies), set(engine.models)) == ({Copy("letters", "v1")}, {"letters"})
    assert control.reports.demand(clock.now()) == {"letters": 9.0}
    task.cancel()
    await clock.advance(REPORT_TTL_S + 1.0)
    assert control.reports.engines(clock.now()) == []
    assert control.reports.demand(clock.now()) == {}


async def test_where_no_model_is_configured_reports_are_rare() -> None:
    """Each of 191 hosts sent each of nine control hosts a report that nobody needed, each 2 s."""
    clock = ManualClock()
    control = ControlSide(clock)
    reporter = EngineReporter(control, clock, lambda: ["control-1"], dict, lambda: False)
    task = asyncio.create_task(reporter.run())
    for counter in range(1, 5):
        reporter.note(make_announcement(counter))
        await clock.advance(REPORT_TTL_S)
        assert len(control.reports.engines(clock.now())) == 1
    assert len(control.requests) <= 5
    task.cancel()


async def test_what_an_engine_says_it_can_load_and_hold_counts() -> None:
    reports = ControlSide(ManualClock())
    told = make_announcement(1, models=("letters", "gate"), slots=3)
    silent = make_announcement(1, target="engine-2")
    await reports.call("", REPORT, Report((told, silent), {}), 1.0)
    views = reports.reports.engines(0.0)
    assert [(set(view.models), view.slots) for view in views] == [
        ({"letters", "gate"}, 3),
        ({"letters"}, SLOTS),
    ]
    assert all(view.one_model for view in views)


async def test_an_older_announcement_through_another_host_is_not_taken() -> None:
    clock = ManualClock()
    control = ControlSide(clock)
    for counter, versions in ((5, ("v2",)), (4, ("v1",))):
        report = Report((make_announcement(counter, versions=versions),), {})
        await control.call("", REPORT, report, 1.0)
    (engine,) = control.reports.engines(clock.now())
    assert (engine.counter, set(engine.copies)) == (5, {Copy("letters", "v2")})
