"""Show the fleet's state, and where a revision is in force."""

import asyncio
from collections.abc import Sequence
from typing import Any, NamedTuple

import msgspec
from aiohttp import web
from result import Err, Ok

from cranberrywall.budgets import make_ledger_client
from cranberrywall.budgets.messages import PeriodsQuery
from cranberrywall.configuration import ConfigurationClient, Evacuation
from cranberrywall.configuration.messages import FETCH, DocumentAt, Fetch
from cranberrywall.console._audit import Audit
from cranberrywall.console._pages import Pages
from cranberrywall.console._paging import page_names
from cranberrywall.console._visits import Visit
from cranberrywall.control import ControlClient
from cranberrywall.hosts import DUMP, DumpRequest
from cranberrywall.links import Caller
from cranberrywall.runtime import Clock

ASK_TIMEOUT_S = 1.0
GROUP_TIMEOUT_S = 2.0
SHOWN_REVISIONS = 50
HOSTS_ASKED_FOR_TARGETS = 3

# In a large fleet a page asks a part of the hosts, spread over all of them, and says so.
MOST_HOSTS_ASKED = 100
MOST_TARGETS_SHOWN = 100

# A host sends what follows the revision that it is asked from. Asked from one that does
# not exist yet, it sends its own number and nothing else.
BEYOND_ALL_REVISIONS = 2**53


class HostRow(NamedTuple):
    """Describe one host as the page shows it; ``revision`` is ``None`` where it is silent.

    Hosts that are consoles only have no configuration in force and are not asked.
    """

    name: str
    place: str
    roles: str
    links: str
    is_asked: bool
    revision: int | None
    problem: str


class GroupRow(NamedTuple):
    """Describe one replicated group: whether it answers, or why not."""

    name: str
    problem: str


class TargetRow(NamedTuple):
    """Describe one target as some entry host knows it."""

    name: str
    kind: str
    serves: str
    place: str
    versions: str
    load: str


class FleetPages:
    """Serve the pages that are only read."""

    def __init__(
        self,
        control: ControlClient,
        configuration: ConfigurationClient,
        caller: Caller,
        audit: Audit,
        pages: Pages,
        clock: Clock,
    ) -> None:
        self._control = control
        self._configuration = configuration
        self._caller = caller
        self._audit = audit
        self._pages = pages
        self._clock = clock

    async def show_home(self, visit: Visit) -> web.StreamResponse:
        """Show hosts, groups and the newest revisions at one sight."""
        result = await self._configuration.document()
        if isinstance(result, Err):
            return self._pages.refusal(visit.session, result.err_value)
        seen: DocumentAt = result.ok_value
        page = page_names(visit.request, seen.document["hosts"])
        hosts, groups, targets, history = await asyncio.gather(
            self._hosts(seen, page.names),
            self._groups(seen),
            self._targets(seen),
            self._configuration.history(limit=10),
        )
        return self._pages.page(
            visit.session,
            "home.html",
            revision=seen.revision,
            document=seen.document,
            page=page,
            hosts=hosts,
            evacuations=_evacuations(seen),
            groups=groups,
            targets=targets[:MOST_TARGETS_SHOWN],
            target_count=len(targets),
            revisions=history.ok_value.revisions if isinstance(history, Ok) else (),
        )

    async def show_history(self, visit: Visit) -> web.StreamResponse:
        """List the newest revisions."""
        history = await self._configuration.history(limit=SHOWN_REVISIONS)
        if isinstance(history, Err):
            return self._pages.refusal(visit.session, history.err_value)
        revisions = history.ok_value.revisions
        return self._pages.page(visit.session, "history.html", revisions=revisions)

    async def show_revision(self, visit: Visit) -> web.StreamResponse:
        """Say who committed a revision, and on which hosts it is in force."""
        number = int(visit.part("number"))
        result = await self._configuration.document()
        history = await self._configuration.history(before=number, limit=1)
        for answer in (result, history):
            if isinstance(answer, Err):
                return self._pages.refusal(visit.session, answer.err_value)
        seen = result.unwrap()
        entries = [
            name for name, host in seen.document["hosts"].items() if "entry" in host["roles"]
        ]
        hosts = await self._hosts(seen, spread_evenly(sorted(entries), MOST_HOSTS_ASKED))
        in_force = [row for row in hosts if row.revision is not None and row.revision >= number]
        return self._pages.page(
            visit.session,
            "revision.html",
            number=number,
            revision=next(iter(history.unwrap().revisions), None),
            hosts=hosts,
            in_force=len(in_force),
            entries=len(entries),
        )

    async def show_audit(self, visit: Visit) -> web.StreamResponse:
        """Show the newest entries of the audit trail."""
        return self._pages.page(visit.session, "audit.html", entries=self._audit.newest())

    async def _hosts(self, seen: DocumentAt, names: Sequence[str]) -> list[HostRow]:
        hosts = [(name, seen.document["hosts"][name]) for name in names]
        return list(await asyncio.gather(*(self._ask(name, host) for name, host in hosts)))

    async def _ask(self, name: str, host: dict[str, Any]) -> HostRow:
        roles = ", ".join(host["roles"])
        if roles == "console":
            return HostRow(name, host["place"], roles, host["links"], False, None, "")
        fetch = Fetch(BEYOND_ALL_REVISIONS)
        result = await self._caller.call(host["links"], FETCH, fetch, ASK_TIMEOUT_S)
        revision = result.ok_value.revision if isinstance(result, Ok) else None
        problem = str(result.err_value.kind) if isinstance(result, Err) else ""
        return HostRow(name, host["place"], roles, host["links"], True, revision, problem)

    async def _targets(self, seen: DocumentAt) -> list[TargetRow]:
        """Return the targets that a few entry hosts know; each should know all of them."""
        entries = [
            host["links"] for host in seen.document["hosts"].values() if "entry" in host["roles"]
        ]
        request = DumpRequest("targets")
        answers = await asyncio.gather(
            *(
                self._caller.call(links, DUMP, request, ASK_TIMEOUT_S)
                for links in entries[:HOSTS_ASKED_FOR_TARGETS]
            )
        )
        known: dict[str, Any] = {}
        for answer in answers:
            if isinstance(answer, Ok):
                known |= msgspec.json.decode(answer.ok_value.state) or {}
        return [_target_row(name, target) for name, target in sorted(known.items())]

    async def _groups(self, seen: DocumentAt) -> list[GroupRow]:
        ledger = make_ledger_client(self._control, seen.document["ledger_groups"])
        names = ledger.groups()
        query = PeriodsQuery(self._clock.wall())
        answers = await asyncio.gather(
            *(ledger.periods(name, query, GROUP_TIMEOUT_S) for name in names)
        )
        rows = [GroupRow("configuration", "")]
        for name, answer in zip(names, answers, strict=True):
            problem = str(answer.err_value) if isinstance(answer, Err) else ""
            rows.append(GroupRow(name, problem))
        return rows


def _evacuations(seen: DocumentAt) -> list[tuple[str, Evacuation]]:
    """Return the evacuated places with their orders."""
    orders = seen.checked.get("evacuations", {})
    return [(place, order) for place, order in sorted(orders.items()) if order["is_active"]]


def spread_evenly(names: Sequence[str], most: int) -> list[str]:
    """Return at most ``most`` names, taken from the whole sequence at even distances.

    >>> spread_evenly(["a", "b", "c", "d"], 2)
    ['a', 'c']
    """
    if len(names) <= most:
        return list(names)
    return [names[index * len(names) // most] for index in range(most)]


def _target_row(name: str, target: dict[str, Any]) -> TargetRow:
    running, waiting = target.get("running"), target.get("waiting")
    load = "not reported" if running is None else f"{running} running, {waiting} waiting"
    return TargetRow(
        name=name,
        kind=target["kind"],
        serves=target["name"],
        place=target["place"],
        versions=", ".join(target["versions"]),
        load=f"{load} of {target['capacity']}{_need(target)}",
    )


def _need(target: dict[str, Any]) -> str:
    """Return what a target in need, or a cold one, takes, as its row shows it."""
    rate, cold = target.get("rate"), target.get("cold")
    need = f"; in need, takes {rate['per_s']:g} a second" if rate else ""
    return need + (f"; cold, takes {cold['per_s']:g} a second" if cold else "")
