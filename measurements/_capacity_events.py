"""Work out what failures of the users' size bring: each row is an arithmetic of figures."""

from typing import NamedTuple

from cranberrywall.budgets.ledger import IdLimits
from measurements._capacity_parts import DAY_S, Figures, Sizes
from measurements._capacity_roles import LEDGER_GROUPS
from measurements._capacity_slopes import MICROSECONDS_TO_PERCENT

HOUR_S = 3600.0


class Event(NamedTuple):
    """Hold one row: what an event brings, from what it follows, and how much it is."""

    event: str
    what: str
    follows_from: str
    value: float
    unit: str


def make_events(figures: Figures, sizes: Sizes) -> list[Event]:
    """Return the rows; raise ``MissingFigureError``."""
    return [
        *_ordinary_day(figures, sizes),
        *_lost_place(figures, sizes),
        *_regions_apart(figures, sizes),
    ]


def _ordinary_day(figures: Figures, sizes: Sizes) -> list[Event]:
    day = "ordinary day"
    changes = sizes.failures_per_day + sizes.restarts_per_day
    registrations = changes * LEDGER_GROUPS / DAY_S
    draw = figures.get("control_cost.leader_draw_us") * MICROSECONDS_TO_PERCENT
    suspected = figures.get("membership.all_suspect_s_400")
    return [
        Event(day, "time between two failures or restarts", "day / 1,360", DAY_S / changes, "s"),
        Event(day, "until all suspect a lost host", "membership.all_suspect_s_400", suspected, "s"),
        Event(day, "registrations", "1,360 a day × 64 groups", registrations, "a second"),
        Event(
            day,
            "leaders' time for them, all together",
            "× control_cost.leader_draw_us, taken for a registration",
            registrations * draw,
            "% of a core",
        ),
        Event(
            day,
            "holders whose money waits for evidence",
            "each failed host, until it starts again or two persons confirm",
            sizes.failures_per_day,
            "hosts",
        ),
    ]


def _lost_place(figures: Figures, sizes: Sizes) -> list[Event]:
    place = "a data centre is lost"
    left = sizes.nodes * (1 - 1 / sizes.places)
    proxying = sizes.tokens_per_s / left / figures.get("proxy.tokens_per_core_s") * 100
    return [
        Event(place, "entry hosts lost", "1,700 / 13", sizes.nodes / sizes.places, "hosts"),
        Event(place, "control hosts lost", "31 / 13", sizes.control_hosts / sizes.places, "hosts"),
        Event(
            place,
            "proxying at each host that is left",
            "15 M tokens/s / hosts left / proxy.tokens_per_core_s",
            proxying,
            "% of a core",
        ),
    ]


def _regions_apart(figures: Figures, sizes: Sizes) -> list[Event]:
    apart = "a region is apart for an hour"
    per_region = sizes.requests_per_s / sizes.regions
    kept = IdLimits().kept * LEDGER_GROUPS
    charges = per_region * HOUR_S
    return [
        Event(
            apart,
            "charges that one host keeps",
            "50,000 / 1,700 × 3,600",
            sizes.requests_per_s / sizes.nodes * HOUR_S,
            "charges",
        ),
        Event(apart, "charges of the region", "50,000 / 4 × 3,600", charges, "charges"),
        Event(
            apart,
            "one core's time to apply them afterwards",
            "/ ledger_size.charges_per_s (batches of 100)",
            charges / figures.get("ledger_size.charges_per_s"),
            "s",
        ),
        Event(
            apart,
            "request ids are known for, while three regions charge",
            "2,097,152 × 64 / 37,500",
            kept / (sizes.requests_per_s - per_region),
            "s",
        ),
    ]
