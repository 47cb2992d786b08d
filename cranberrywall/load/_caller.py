"""Send requests as a caller does: kept addresses, and retries with one Idempotency-Key."""

from typing import NamedTuple

import aiohttp

from cranberrywall.load._addresses import AddressBook
from cranberrywall.load._answers import Answer, CutError, read_answer
from cranberrywall.load._outcomes import AnswerCheck, Outcome, OutcomeKind
from cranberrywall.load._plan import PlannedRequest
from cranberrywall.load._profile import Retries
from cranberrywall.runtime import Clock, Random

_KIND_BY_RAN = {"no": OutcomeKind.REFUSED, "unknown": OutcomeKind.UNKNOWN}


class CallerOptions(NamedTuple):
    """Say how a caller behaves; ``timeout_s`` bounds one try."""

    entries: list[str]
    retries: Retries
    timeout_s: float
    keep_addresses_s: float | None = None


def make_caller(
    options: CallerOptions,
    session: aiohttp.ClientSession,
    clock: Clock,
    random: Random,
    check: AnswerCheck | None,
) -> "Caller":
    """Return a caller with a list of addresses of its own."""
    book = AddressBook(session, options.entries, clock, random, options.keep_addresses_s)
    return Caller(options, session, book, clock, random, check)


class Caller:
    """Send requests and report how each ended."""

    def __init__(
        self,
        options: CallerOptions,
        session: aiohttp.ClientSession,
        book: AddressBook,
        clock: Clock,
        random: Random,
        check: AnswerCheck | None,
    ) -> None:
        self._options = options
        self._session = session
        self._book = book
        self._clock = clock
        self._random = random
        self._check = check

    async def send(self, planned: PlannedRequest, started_at: float) -> Outcome:
        """Send until an answer, a final refusal, or the last retry."""
        avoid: frozenset[str] = frozenset()
        answer: Answer | None = None
        for tries in range(1, self._options.retries["most"] + 2):
            url = await self._book.choose(avoid)
            answer = await self._try(url, planned)
            if answer is None:
                avoid = avoid | {url}
                self._book.forget()
            if answer is not None and not self._is_retried(answer):
                break
            if tries <= self._options.retries["most"]:
                await self._clock.sleep(self._wait_s(answer))
        return self._outcome(planned, started_at, tries, answer)

    async def _try(self, url: str, planned: PlannedRequest) -> Answer | None:
        timeout = aiohttp.ClientTimeout(total=self._options.timeout_s)
        try:
            async with self._session.request(
                planned.method,
                f"{url}{planned.path}",
                data=planned.body,
                headers=_headers(planned),
                timeout=timeout,
            ) as response:
                return await read_answer(response, planned.stream, self._clock)
        except (TimeoutError, aiohttp.ClientError, OSError, CutError):
            # The host died or the connection was cut: whether the request ran is not
            # known here. The same Idempotency-Key makes the retry safe.
            return None

    def _is_retried(self, answer: Answer) -> bool:
        # A caller comes back where the answer says that this is safe, and when; it gives
        # up where it is asked to come back later than it is willing to wait.
        if answer.error is None or answer.retry_after_s is None:
            return False
        longest_s = self._options.retries["longest_wait_s"]
        return answer.error.get("retry_safe", False) and answer.retry_after_s <= longest_s

    def _wait_s(self, answer: Answer | None) -> float:
        retries = self._options.retries
        asked = None if answer is None else answer.retry_after_s
        wait_s = retries["wait_s"] if asked is None else asked
        return min(wait_s, retries["longest_wait_s"]) * self._random.uniform(0.5, 1.5)

    def _outcome(
        self, planned: PlannedRequest, started_at: float, tries: int, answer: Answer | None
    ) -> Outcome:
        now = self._clock.now()
        if answer is None:
            return Outcome(
                planned, OutcomeKind.LOST, "", tries, "", 0.0, 0.0, now - started_at, "", 0
            )
        between_s = 0.0
        if answer.parts > 1:
            between_s = (answer.last_at - answer.first_at) / (answer.parts - 1)
        return Outcome(
            planned=planned,
            kind=self._kind(planned, answer),
            code=answer.error["code"] if answer.error else "",
            tries=tries,
            request_id=answer.request_id,
            first_token_s=answer.first_at - started_at,
            between_s=between_s,
            total_s=now - started_at,
            text=answer.text,
            cost=answer.tokens,
        )

    def _kind(self, planned: PlannedRequest, answer: Answer) -> OutcomeKind:
        if answer.error is not None:
            return _KIND_BY_RAN.get(answer.error.get("ran", ""), OutcomeKind.LOST)
        if self._check is not None and not self._check(planned, answer.text):
            return OutcomeKind.WRONG
        return OutcomeKind.ANSWERED


def _headers(planned: PlannedRequest) -> dict[str, str]:
    headers = {
        "Authorization": f"Bearer {planned.key}",
        "Idempotency-Key": planned.idempotency_key,
        "Content-Type": "application/json",
    }
    if planned.priority:
        headers["X-Priority"] = planned.priority
    if planned.deadline_s is not None:
        headers["X-Deadline-S"] = str(planned.deadline_s)
    return headers
