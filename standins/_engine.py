"""Serve OpenAI-compatible chat completions from a stand-in model engine."""

import asyncio
import json
import math
import time
from typing import Any, NamedTuple

from aiohttp import web

from standins._answers import answer_words, count_prompt_tokens, prompt_text
from standins._attempts import Attempt, AttemptPlan, Attempts, usage_document
from standins._batch import Batch
from standins._common import (
    ATTEMPT_HEADER,
    FaultSwitch,
    abort,
    add_common_routes,
    crossed_id,
    fail,
    identity,
    is_open,
)
from standins._counts import Counts, Usage
from standins._faults import Draw, Faults, draw_faults
from standins._load import LaggingLoad
from standins._orders import Orders
from standins._prefixes import BLOCK_CHARACTERS, PrefixCache

PRIORITY_HEADER = "X-Priority"
VERSION_HEADER = "X-Model-Version"
CUT_AFTER_CHUNKS = 4
WRONG_USAGE_FACTOR = 1000
DEFAULT_MAX_TOKENS = 256
DEFAULT_RANK = 5


class EngineOptions(NamedTuple):
    """Describe one stand-in engine.

    ``capacity`` is how many attempts run in one batch and ``queue`` how many may wait. A
    step takes ``step_s`` plus ``step_each_s`` for each running attempt, in seconds, and
    ``prefill_tokens`` uncached prompt tokens take one step. The prefix cache holds
    ``cache_blocks`` blocks of 256 characters; its events come ``event_delay_s`` late and a
    share ``event_loss`` never. Load is reported ``load_lag_s`` late. An attempt that nobody
    reads is cancelled after ``detached_s``. ``models`` are those that it can be ordered to
    load, one at a time, its first one among them; without any it has ``model`` for good.
    It holds ``slots`` versions at once, where that is not 0. A prompt with the text ``ends_on``
    ends the engine in mid answer, whoever sends it.
    """

    target: str
    model: str
    place: str = "town-hall"
    versions: tuple[str, ...] = ("2026-10",)
    capacity: int = 8
    queue: int = 256
    step_s: float = 0.004
    step_each_s: float = 0.0002
    prefill_tokens: int = 512
    cache_blocks: int = 512
    event_delay_s: float = 0.5
    event_loss: float = 0.05
    load_lag_s: float = 0.5
    load_s: float = 0.5
    detached_s: float = 5.0
    checks_fencing: bool = True
    models: tuple[str, ...] = ()
    slots: int = 0
    ends_on: str = ""
    seed: int = 1
    faults: Faults = Faults()


def make_engine(options: EngineOptions) -> "Engine":
    """Return an engine; ``serve`` binds it to an address."""
    return Engine(options)


class Engine:
    """Answer chat completions, resumes, cancels and orders."""

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.counts = Counts()
        self.orders = Orders(
            options.model,
            options.models or (options.model,),
            options.versions,
            options.checks_fencing,
            options.load_s,
            options.slots,
        )
        self.switch = FaultSwitch(options.faults)
        self._cache = PrefixCache(
            options.cache_blocks, options.event_delay_s, options.event_loss, options.seed
        )
        self._attempts = Attempts()
        self._load = LaggingLoad(options.load_lag_s)
        self._batch = Batch(options.capacity, self._step_s, self._count_end)
        self.app = self._make_app()

    @property
    def busy(self) -> int:
        """Return how many attempts run or wait."""
        return self._batch.running + self._batch.waiting

    def describe(self, url: str) -> dict[str, Any]:
        """Return the announcement, but for its incarnation, counter and leaving."""
        at = time.time()
        self._record_load()
        return {
            **self._optional_fields(),
            "target": self.options.target,
            "kind": "engine",
            "name": self.orders.model,
            "place": self.options.place,
            "url": url,
            "versions": list(self.orders.versions),
            "adapters": list(self.orders.adapters),
            "capacity": self.options.capacity,
            "checks_fencing": self.options.checks_fencing,
            "load": self._load.report(at),
            "cache_events": self._cache.take_events(time.monotonic()),
        }

    def _optional_fields(self) -> dict[str, Any]:
        fields: dict[str, Any] = {}
        if self.options.models:
            fields["models"] = list(self.options.models)
        if self.options.slots:
            fields["slots"] = self.options.slots
        return fields

    def stop(self) -> None:
        """Stop the work at once."""
        self._batch.stop()

    def _make_app(self) -> web.Application:
        app = web.Application()
        app.router.add_post("/v1/chat/completions", self._complete)
        app.router.add_get("/v1/attempts/{attempt:.+}", self._resume)
        app.router.add_delete("/v1/attempts/{attempt:.+}", self._cancel)
        app.router.add_post("/v1/orders", self._order)
        app.router.add_get("/v1/orders", self._list_orders)
        add_common_routes(app, self.counts, self.switch, self.options.seed)
        return app

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        request_id, attempt_id = identity(request)
        draw = draw_faults(
            self.switch.faults, self.options.seed, request_id, self.counts.started(request_id)
        )
        if self.options.ends_on and self.options.ends_on in prompt_text(body["messages"]):
            draw = draw._replace(dies=True)
        refusal = self._refusal(request, body, draw)
        if refusal is not None:
            self.counts.refused += 1
            return refusal
        attempt = self._begin(request, body, request_id, attempt_id, draw)
        if draw.late:
            await asyncio.sleep(self.switch.faults.late_s)
        answered = self._crossed(attempt) if draw.crossed else attempt
        if body.get("stream", False):
            return await self._stream(request, answered, 0, draw)
        return await self._answer_whole(request, answered, draw)

    def _refusal(
        self, request: web.Request, body: dict[str, Any], draw: Draw
    ) -> web.Response | None:
        if body.get("model") != self.orders.model or not self.orders.versions:
            return fail(404, f"this engine serves {self.orders.model} {self.orders.versions}")
        version = request.headers.get(VERSION_HEADER, "")
        if version and version not in self.orders.versions:
            return fail(404, f"version {version} is not loaded")
        if draw.refuses or self._batch.waiting >= self.options.queue:
            return fail(503, "no room")
        return None

    def _begin(
        self,
        request: web.Request,
        body: dict[str, Any],
        request_id: str,
        attempt_id: str,
        draw: Draw,
    ) -> Attempt:
        messages = body["messages"]
        limit = int(body.get("max_tokens", DEFAULT_MAX_TOKENS))
        words = answer_words(messages)
        prompt_tokens = count_prompt_tokens(messages)
        usage = Usage(prompt_tokens, len(words[:limit]))
        if draw.wrong_usage:
            usage = Usage(prompt_tokens, usage.completion_tokens * WRONG_USAGE_FACTOR)
        plan = AttemptPlan(
            attempt_id=attempt_id,
            request_id=request_id,
            model=self.orders.model,
            rank=int(request.headers.get(PRIORITY_HEADER, DEFAULT_RANK)),
            words=words[:limit],
            cut_short=len(words) > limit,
            prefill_steps=self._prefill_steps(prompt_text(messages)),
            usage=usage,
            created=int(time.time()),
        )
        attempt = Attempt(plan)
        self.counts.begin(request_id, attempt_id)
        self._attempts.add(attempt)
        self._batch.add(attempt)
        self._record_load()
        return attempt

    def _prefill_steps(self, text: str) -> int:
        cached = self._cache.use(text, time.monotonic()) * BLOCK_CHARACTERS
        uncached_tokens = (len(text) - cached) / 4
        return math.ceil(uncached_tokens / self.options.prefill_tokens)

    def _crossed(self, attempt: Attempt) -> Attempt:
        other = self._attempts.other_than(attempt.plan.attempt_id)
        if other is not None:
            return other
        plan = attempt.plan._replace(attempt_id=crossed_id(attempt.plan.attempt_id))
        made_up = Attempt(plan)
        while not made_up.finished:
            made_up.advance()
        return made_up

    async def _stream(
        self, request: web.Request, attempt: Attempt, start: int, draw: Draw | None
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                ATTEMPT_HEADER: attempt.plan.attempt_id,
            }
        )
        await response.prepare(request)
        attempt.readers += 1
        try:
            async for chunk in attempt.follow(start):
                await response.write(f"data: {json.dumps(chunk)}\n\n".encode())
                if draw is not None and chunk["index"] + 1 == CUT_AFTER_CHUNKS:
                    self.switch.break_connection(request, draw)
            if attempt.finished:
                await response.write(b"data: [DONE]\n\n")
            else:
                abort(request)
        except ConnectionError:
            self._cancel_later(attempt)
        finally:
            attempt.readers -= 1
        return response

    async def _answer_whole(
        self, request: web.Request, attempt: Attempt, draw: Draw
    ) -> web.StreamResponse:
        await attempt.wait()
        if draw.cut or draw.dies:
            self.switch.break_connection(request, draw)
        if not attempt.finished:
            return fail(499, "cancelled")
        if not is_open(request):
            return fail(499, "the caller is gone")
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": attempt.text},
            "finish_reason": attempt.finish_reason,
        }
        document = {
            "id": attempt.plan.attempt_id,
            "object": "chat.completion",
            "created": attempt.plan.created,
            "model": attempt.plan.model,
            "choices": [choice],
            "usage": usage_document(attempt.plan.usage),
        }
        return web.json_response(document, headers={ATTEMPT_HEADER: attempt.plan.attempt_id})

    def _cancel_later(self, attempt: Attempt) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(self.options.detached_s, self._cancel_if_unread, attempt)

    def _cancel_if_unread(self, attempt: Attempt) -> None:
        if attempt.readers == 0:
            attempt.cancel()

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        attempt = self._attempts.by_id(request.match_info["attempt"])
        if attempt is None or attempt.cancelled:
            return fail(404, "unknown attempt")
        start = int(request.query.get("from", "0"))
        return await self._stream(request, attempt, start, None)

    async def _cancel(self, request: web.Request) -> web.StreamResponse:
        attempt = self._attempts.by_id(request.match_info["attempt"])
        if attempt is None:
            return fail(404, "unknown attempt")
        attempt.cancel()
        return web.json_response({"finished": attempt.finished})

    async def _order(self, request: web.Request) -> web.Response:
        moves = self.orders.model_moves
        answer = await self.orders.take(await request.json())
        if self.orders.model_moves != moves:
            self._cache.clear()
        return web.json_response(answer.document, status=answer.status)

    async def _list_orders(self, request: web.Request) -> web.Response:
        return web.json_response({"taken": self.orders.taken, "refused": self.orders.refused})

    def _step_s(self) -> float:
        step_s = self.options.step_s + self.options.step_each_s * self._batch.running
        return step_s * self.switch.faults.slow

    def _count_end(self, attempt: Attempt) -> None:
        if attempt.cancelled:
            self.counts.cancel(attempt.plan.request_id)
        else:
            self.counts.finish(attempt.plan.request_id, attempt.plan.usage)
        self._record_load()

    def _record_load(self) -> None:
        self._load.record(self._batch.running, self._batch.waiting, time.time())
