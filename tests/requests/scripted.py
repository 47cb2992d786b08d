"""Engines that answer according to a script."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

Behavior = Callable[["ScriptedEngine", web.Request, web.StreamResponse, str], Awaitable[None]]


class ScriptedEngine:
    """Answer each completion with ``on_completion`` and each resume with ``on_resume``."""

    def __init__(self, on_completion: Behavior, on_resume: Behavior | None = None) -> None:
        self._on_completion = on_completion
        self._on_resume = on_resume
        self.calls: list[dict[str, Any]] = []
        self.cancelled: list[str] = []
        self.released = asyncio.Event()
        self.app = web.Application()
        self.app.router.add_post("/v1/chat/completions", self._complete)
        self.app.router.add_get("/v1/attempts/{attempt:.+}", self._resume)
        self.app.router.add_delete("/v1/attempts/{attempt:.+}", self._cancel)

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        self.calls.append(await request.json())
        return await self._answer(request, request.headers["X-Attempt-Id"], self._on_completion)

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        if self._on_resume is None:
            return web.Response(status=404)
        return await self._answer(request, request.match_info["attempt"], self._on_resume)

    async def _cancel(self, request: web.Request) -> web.Response:
        self.cancelled.append(request.match_info["attempt"])
        return web.json_response({})

    async def _answer(
        self, request: web.Request, attempt: str, behavior: Behavior
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream", "X-Attempt-Id": attempt}
        )
        await response.prepare(request)
        await behavior(self, request, response, attempt)
        return response


def chunk(attempt: str, index: int, content: str | dict[str, Any] = "", usage: int = 0) -> bytes:
    """Return an event; ``content`` is the text, or the complete delta."""
    delta = {"content": content} if isinstance(content, str) else content
    value: dict[str, Any] = {
        "id": attempt,
        "index": index,
        "choices": [{"index": 0, "delta": delta}],
    }
    if usage:
        value["usage"] = {"prompt_tokens": 3, "completion_tokens": usage}
    return b"data: " + json.dumps(value).encode() + b"\n\n"


def script(*steps: Any) -> Behavior:
    """Return a ``Behavior`` that runs ``steps`` in order.

    A step is ``(index, text or delta)``, ``bytes``, ``"cut"`` to abort the connection,
    ``"wait"`` to wait for ``released``, or ``"end"`` for the usage and the end mark.
    """

    async def run_script(
        engine: ScriptedEngine, request: web.Request, response: web.StreamResponse, attempt: str
    ) -> None:
        count = 0
        for step in steps:
            if step == "cut":
                assert request.transport is not None
                request.transport.abort()
                return
            if step == "wait":
                await engine.released.wait()
            elif step == "end":
                await response.write(chunk(attempt, count, usage=count) + b"data: [DONE]\n\n")
            elif isinstance(step, bytes):
                await response.write(step)
            else:
                count = step[0] + 1
                await response.write(chunk(attempt, step[0], step[1]))

    return run_script
