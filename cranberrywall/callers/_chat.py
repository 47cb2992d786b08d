"""Handler of ``POST /v1/chat/completions``."""

from aiohttp import web
from result import Err, Ok, Result

from cranberrywall.callers._admission import Caller, admit
from cranberrywall.callers._answers import JSON, answer_headers
from cranberrywall.callers._bodies import read_body
from cranberrywall.callers._context import CallerContext
from cranberrywall.callers._streams import stream_run
from cranberrywall.errors import ErrorKind, Ran, Refusal
from cranberrywall.requests import (
    ChatBody,
    ChatRequest,
    Run,
    assemble_completion,
    bound_chat,
    fingerprint,
    parse_chat_body,
    traits_of_chat,
)


class ChatHandler:
    """Handle chat completions: start or join a run, and send its result to the caller."""

    def __init__(self, context: CallerContext) -> None:
        self._context = context

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Handle one chat completion, streamed or not."""
        context = self._context
        now = context.clock.now()
        admitted = admit(request, context.configuration, context.random, now)
        if isinstance(admitted, Err):
            return context.refuse(admitted.err_value, "")
        caller = admitted.ok_value
        request_id = caller.name.request_id
        body = await read_body(request, context.limits.bodies)
        if isinstance(body, Err):
            return context.refuse(body.err_value, request_id)
        prepared = parse_chat_body(body.ok_value).and_then(lambda chat: self._plan(caller, chat))
        if isinstance(prepared, Err):
            return context.refuse(prepared.err_value, request_id)
        started = await context.chats.start_or_join(prepared.ok_value, now)
        if isinstance(started, Err):
            return context.refuse(started.err_value, request_id)
        return await self._answer(request, prepared.ok_value, started.ok_value)

    def _plan(self, caller: Caller, body: ChatBody) -> Result[ChatRequest, Refusal]:
        document = self._context.configuration.document
        workspace = caller.workspace.workspace
        model = document["models"].get(body.model)
        if model is None:
            return Err(_unknown_model())
        if body.model not in workspace["reach"]["models"]:
            return Err(_model_forbidden())
        policy = document["policies"].get(workspace["policy"])
        bound = bound_chat(body, model, policy, self._context.bounds)
        if isinstance(bound, Err):
            return bound
        budget = workspace["budget"]
        return Ok(
            ChatRequest(
                name=caller.name,
                fingerprint=_fingerprint(body),
                body=body,
                bound=bound.ok_value,
                budget=budget,
                unit=document["budgets"][budget]["unit"],
                version=model["version"],
                rank=caller.rank,
                start_by=caller.start_by,
                end_by=caller.end_by,
                traits=traits_of_chat(body.texts, caller.name.workspace, body.model),
            )
        )

    async def _answer(
        self, request: web.Request, planned: ChatRequest, run: Run
    ) -> web.StreamResponse:
        try:
            if planned.body.stream:
                return await stream_run(request, run, self._context.limits.write_timeout_s)
            await run.wait_ended()
            return self._answer_complete(run)
        finally:
            self._context.chats.leave(run)

    def _answer_complete(self, run: Run) -> web.Response:
        if run.refusal is not None:
            return self._context.refuse(run.refusal, run.name.request_id)
        return web.Response(
            body=assemble_completion(run.frames, run.name.request_id, run.usage),
            content_type=JSON,
            headers=answer_headers(run.name.request_id, Ran.YES),
        )


def _fingerprint(body: ChatBody) -> str:
    return fingerprint("chat", body.forwarded_fields, body.adapter, body.max_tokens)


def _unknown_model() -> Refusal:
    return Refusal(
        ErrorKind.NOT_FOUND,
        "no such model",
        field="model",
        remedy="GET /v1/models lists the models that the key may use",
    )


def _model_forbidden() -> Refusal:
    return Refusal(
        ErrorKind.FORBIDDEN,
        "the workspace may not use this model",
        field="model",
        remedy="GET /v1/models lists the models that the key may use",
    )
