"""Ask or command every ledger group, and join their answers."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from result import Err, Ok, Result

from cranberrywall.budgets import LedgerClient
from cranberrywall.errors import ErrorKind, Refusal

AnswerT = TypeVar("AnswerT")


async def from_each_group(
    ledger: LedgerClient, call: Callable[[str], Awaitable[Result[AnswerT, Refusal]]]
) -> Result[dict[str, AnswerT], Refusal]:
    """Return each group's answer, or the first refusal with its group's name."""
    answers: dict[str, AnswerT] = {}
    for group in ledger.groups():
        answer = await call(group)
        if isinstance(answer, Err):
            refusal = answer.err_value
            return Err(refusal._replace(message=f"{group}: {refusal.message}"))
        answers[group] = answer.ok_value
    return Ok(answers)


async def to_each_group(
    ledger: LedgerClient, command: Callable[[str], Awaitable[Result[AnswerT, Refusal]]]
) -> Result[dict[str, AnswerT], Refusal]:
    """Send a command to every group; a refusal names the groups that have done it.

    Every command that goes to all groups is idempotent: after a refusal it is sent to all
    of them again.
    """
    done: list[str] = []

    async def send(group: str) -> Result[AnswerT, Refusal]:
        answer = await command(group)
        if isinstance(answer, Err):
            return Err(_name_done(answer.err_value, done))
        done.append(group)
        return answer

    return await from_each_group(ledger, send)


def _name_done(refusal: Refusal, done: list[str]) -> Refusal:
    message, remedy = refusal.message, refusal.remedy
    if done:
        message += f" (done in {', '.join(done)})"
    if refusal.kind is ErrorKind.TIMEOUT:
        remedy = "give the same command again: what was done is not done twice"
    return refusal._replace(message=message, remedy=remedy)
