"""Log events, export metrics and dump state."""

from cranberrywall.observability._admin import AdminServer, make_admin_server
from cranberrywall.observability._health import HealthChecks
from cranberrywall.observability._lines import parse_pairs
from cranberrywall.observability._listener import HttpListener
from cranberrywall.observability._log import (
    EventLimiter,
    configure_log,
    configure_process_log,
    format_pairs,
    hide_secret,
    log_event,
    process_context,
    request_context,
)
from cranberrywall.observability._metrics import Family, Metrics, make_metrics
from cranberrywall.observability._state import StateRegistry, dump_state_on_signal, to_plain

__all__ = [
    "AdminServer",
    "EventLimiter",
    "Family",
    "HealthChecks",
    "HttpListener",
    "Metrics",
    "StateRegistry",
    "configure_log",
    "configure_process_log",
    "dump_state_on_signal",
    "format_pairs",
    "hide_secret",
    "log_event",
    "make_admin_server",
    "make_metrics",
    "parse_pairs",
    "process_context",
    "request_context",
    "to_plain",
]
