"""Translate between forwarding and the headers that targets understand."""

from cranberrywall.forwarding import Attempt, Headers, TargetHead, TargetLoad
from cranberrywall.platform import _headers as names
from cranberrywall.rates import read_rate
from cranberrywall.targets import ABSENT, read_decimal_field

_MISDIRECTED = 421
_UNAVAILABLE = 503
_GATEWAY_STATUSES = (502, 504)
"""Statuses that a gateway before the target may answer if the target does not."""

_LOAD_FIELDS = 3
_LEAVES = "1"


class TargetDialect:
    """Write the heads of requests to targets, and read those of their answers."""

    def request_headers(self, attempt: Attempt) -> Headers:
        """Return the caller's headers with those that the system sets itself."""
        headers = list(attempt.arrival.headers)
        headers.append((names.DEADLINE_MS, str(max(1, int(attempt.remaining_s * 1000)))))
        headers.append((names.EXPECT_INSTANCE, attempt.target_id))
        if attempt.workspace:
            headers.append((names.TENANT, attempt.workspace))
        if attempt.last_event is not None:
            headers.append((names.LAST_EVENT_ID, str(attempt.last_event)))
        return tuple(headers)

    def read_head(self, status: int, headers: Headers) -> TargetHead:
        """Return what the head of a target's answer tells."""
        value_by_name = {name.lower(): value for name, value in headers}
        asks_backoff = status == _UNAVAILABLE
        return TargetHead(
            request_id=value_by_name.get(names.REQUEST_ID.lower(), ""),
            not_run=names.NOT_RUN.lower() in value_by_name,
            is_wrong_target=status == _MISDIRECTED,
            load=_read_load(value_by_name.get(names.SERVER_LOAD.lower(), "")),
            rate=read_rate(_values(headers, names.SERVER_LIMIT)),
            backoff=(
                read_decimal_field(_values(headers, names.RETRY_AFTER)) if asks_backoff else ABSENT
            ),
            rejections=read_decimal_field(_values(headers, names.SERVER_BRITTLE)),
            is_leaving=value_by_name.get(names.SERVER_LEAVING.lower(), "").strip() == _LEAVES,
        )

    def check_headers(self, target_id: str) -> Headers:
        """Return the headers of a question about a target's health."""
        return ((names.EXPECT_INSTANCE, target_id),)

    def may_be_from(self, target_id: str, status: int, headers: Headers) -> bool:
        """Return whether the answer to such a question may be from the target."""
        named = _values(headers, names.INSTANCE_ID)
        if not named and status in _GATEWAY_STATUSES:
            return False
        return status != _MISDIRECTED and all(name == target_id for name in named)


def _values(headers: Headers, wanted: str) -> list[str]:
    return [value for name, value in headers if name.lower() == wanted.lower()]


def _read_load(text: str) -> TargetLoad | None:
    parts = text.split(",")
    if len(parts) != _LOAD_FIELDS or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return TargetLoad(running, waiting, slots)
