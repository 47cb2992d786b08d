"""Order evacuations once every control host runs a build that knows them."""

import asyncio
from typing import NamedTuple

from result import Err, Ok, Result

from cranberrywall.configuration._client import GROUP, ConfigurationClient
from cranberrywall.configuration._edits import ORDERED_SECTIONS
from cranberrywall.configuration.messages import EvacuationOrdered
from cranberrywall.control import MembersClient
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Caller, Method, Peer, Server

SECTION = "evacuations"

CHECK_TIMEOUT_S = 0.3
"""Time that each control host has to list the orders that it knows, in seconds."""

MEMBERS_TIMEOUT_S = 1.0
"""Time to find the control hosts, in seconds."""

_LOST_KINDS = (ErrorKind.UNREACHABLE, ErrorKind.TIMEOUT)


class KnownOrdersRequest(NamedTuple):
    """Request to a control host for the sections that its build changes by orders."""


class KnownOrdersReply(NamedTuple):
    """Sections that the build of a control host changes by orders."""

    sections: tuple[str, ...]


KNOWN_ORDERS = Method("configuration.known_orders", KnownOrdersRequest, KnownOrdersReply)


def register_known_orders(server: Server) -> None:
    """Register the handler of ``KNOWN_ORDERS`` at ``server``."""

    async def answer(request: KnownOrdersRequest, peer: Peer) -> Result[KnownOrdersReply, Refusal]:
        return Ok(KnownOrdersReply(tuple(sorted(ORDERED_SECTIONS))))

    server.register(KNOWN_ORDERS, answer)


class EvacuationOrders:
    """Start and end evacuations through the configuration group."""

    def __init__(self, control: MembersClient, caller: Caller, timeout: float) -> None:
        self._control = control
        self._caller = caller
        self._configuration = ConfigurationClient(control, timeout)

    async def order(
        self, place: str, is_active: bool, based_on: int, operator: str, at: float
    ) -> Result[EvacuationOrdered, Refusal]:
        """Start or end the evacuation of a place; see ``ConfigurationClient.order_evacuation``.

        ``ErrorKind.NOT_CURRENT`` means that a control host runs a build that does not know
        evacuations: its copy of the document would lack the order.
        """
        older = await self._older_hosts()
        if isinstance(older, Err):
            return Err(older.err_value)
        if older.ok_value:
            message = f"the builds of {', '.join(older.ok_value)} do not know evacuations"
            return Err(Refusal(ErrorKind.NOT_CURRENT, message, "", "upgrade all control hosts"))
        return await self._configuration.order_evacuation(place, is_active, based_on, operator, at)

    async def _older_hosts(self) -> Result[list[str], Refusal]:
        """Return the control hosts whose build does not know evacuations.

        Hosts that are lost do not count: they must not delay an order.
        """
        members = await self._control.members(GROUP, MEMBERS_TIMEOUT_S)
        if isinstance(members, Err):
            return Err(members.err_value)
        hosts = {member.host: member.address for member in members.ok_value.members}
        known = await asyncio.gather(*(self._is_known_at(address) for address in hosts.values()))
        return Ok([host for host, is_known in zip(hosts, known, strict=True) if not is_known])

    async def _is_known_at(self, address: str) -> bool:
        answer = await self._caller.call(
            address, KNOWN_ORDERS, KnownOrdersRequest(), CHECK_TIMEOUT_S
        )
        if isinstance(answer, Err):
            return answer.err_value.kind in _LOST_KINDS
        return SECTION in answer.ok_value.sections
