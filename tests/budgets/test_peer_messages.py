"""Test that the messages between hosts survive encoding and decoding."""

from typing import Any

import msgspec
import pytest

from cranberrywall.budgets import _peer_messages as peer
from cranberrywall.budgets.messages import Charge, Holder, Transfer

A, B = Holder("a", 1), Holder("b", 2)
TRANSFER = Transfer("main", A, 3, B, 4, 500, 1_790_000_000.5)
CHARGE = Charge("main", "clerks", "r1", 7, 40, 1_790_000_000.25)


@pytest.mark.parametrize(
    "message",
    [
        peer.TakeRequest("main", "clerks", A, B, 2**62, 4, 500, 20),
        peer.TakeReply(A, TRANSFER, True, 10, 30),
        peer.TakeReply(A, None, False, 0, 0),
        peer.KeepRequest(A, (TRANSFER,), (CHARGE, CHARGE)),
        peer.KeepReply(on_disk=True),
        peer.ForgetRequest(A, (("main", A, 3),), (("main", 7),)),
        peer.ForgetReply(),
        peer.DeliverRequest("a", 5),
        peer.DeliverReply(2, B, on_disk=False),
    ],
)
def test_a_message_is_the_same_after_encoding_and_decoding(message: Any) -> None:
    data = msgspec.msgpack.encode(message)
    assert msgspec.msgpack.decode(data, type=type(message)) == message
