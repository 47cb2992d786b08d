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
    """Return each group's answer, or the first refusal with the groups that had answered.

    Every command that goes to all groups is idempotent: after a refusal it is sent to all
    of them again.
    """
    answers: dict[str, AnswerT] = {}
    for group in ledger.groups():
        answer = await call(group)
        if isinstance(answer, Err):
            return Err(_name_group(answer.err_value, group, list(answers)))
        answers[group] = answer.ok_value
    return Ok(answers)


def _name_group(refusal: Refusal, group: str, done: list[str]) -> Refusal:
    message = f"{group}: {refusal.message}"
    if done:
        message += f" (done before it: {', '.join(done)})"
    remedy = refusal.remedy
    if refusal.kind is ErrorKind.TIMEOUT:
        remedy = "give the same command again: what was done is not done twice"
    return refusal._replace(message=message, remedy=remedy)
