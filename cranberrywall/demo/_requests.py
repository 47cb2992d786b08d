"""List the requests that the demo sends, with the outcome that each must have."""

from typing import NamedTuple

import msgspec

from cranberrywall.demo._deployments import Deployment
from cranberrywall.load import PlannedRequest

PLENTY = 100_000
TOO_FEW_TOKENS = 40
SECOND_IS_OVER_BUDGET = 1


class DemoRequest(NamedTuple):
    """Hold one request; ``refused_as`` is empty where an answer must come."""

    title: str
    planned: PlannedRequest
    refused_as: str = ""


class _Maker:
    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._number = 0

    def chat(
        self, title: str, workspace: str, prompt: str, stream: bool = True, refused_as: str = ""
    ) -> DemoRequest:
        """Return a chat completion."""
        body = {
            "model": self._deployment.model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": 64,
            "stream": stream,
        }
        planned = self._plan(workspace, "POST", "/v1/chat/completions", body, stream)
        return DemoRequest(title, planned, refused_as)

    def call(
        self, title: str, workspace: str, method: str, path: str, body: dict[str, str] | None = None
    ) -> DemoRequest:
        """Return a call to the plain service."""
        whole = f"/v1/services/{self._deployment.service}{path}"
        return DemoRequest(title, self._plan(workspace, method, whole, body, False))

    def _plan(
        self,
        workspace: str,
        method: str,
        path: str,
        body: dict[str, object] | dict[str, str] | None,
        stream: bool,
    ) -> PlannedRequest:
        self._number += 1
        return PlannedRequest(
            at=0.0,
            number=self._number,
            mix="",
            workspace=workspace,
            key=self._deployment.key(workspace),
            idempotency_key=f"{self._deployment.name.folder}-{self._number}",
            method=method,
            path=path,
            body=msgspec.json.encode(body) if body else b"",
            stream=stream,
            tokens=0,
            priority="",
            deadline_s=None,
            repeat=False,
        )


def demo_requests(deployment: Deployment) -> list[DemoRequest]:
    """Return the deployment's requests in the order of sending."""
    return _REQUESTS[deployment.name.folder](_Maker(deployment))


def demo_credits(deployment: Deployment) -> dict[str, int]:
    """Return what to credit each budget with; the last one's request goes over it."""
    plenty = dict.fromkeys(deployment.document["budgets"], PLENTY)
    return {**plenty, **_SMALL_BUDGETS[deployment.name.folder]}


def _board(make: _Maker) -> list[DemoRequest]:
    before = [
        make.chat("renewal letter", "counter-clerks", "Write a renewal letter for deposit 1704."),
        make.chat("rate explanation", "counter-clerks", "Explain the new rate.", stream=False),
        make.chat("maturity letter", "maturity-letters", "Write the letter. " * 60),
        make.call("status lookup", "renewal-desk", "GET", "/deposits/1704"),
        make.call("maturity lookup", "pensioner-services", "GET", "/deposits/1705/maturity"),
    ]
    confirm = make.call(
        "renewal confirmation",
        "renewal-desk",
        "POST",
        "/renewals/1704/confirm",
        {"term": "12 months"},
    )
    return [
        *before,
        confirm,
        confirm._replace(title="the same confirmation again"),
        make.chat(
            "letter over budget", "training", "Write a letter.", refused_as="budget_exhausted"
        ),
    ]


def _parking(make: _Maker) -> list[DemoRequest]:
    return [
        make.call("gate check", "gate-kiosks", "GET", "/plates/LJ-24-KLM"),
        make.call("gate check", "gate-kiosks", "GET", "/plates/KR-17-ABC"),
        make.call("gate check", "municipal-lots", "GET", "/plates/MB-01-XYZ"),
        make.chat("lease renewal", "lease-renewals", "Draft the renewal of the lease of bay 12."),
        make.chat("dispute summary", "barrier-disputes", "Sum up the dispute. " * 40),
        make.chat("bay question", "tenant-help", "Where is bay 12?", stream=False),
        make.chat("last paid answer", "office", "Which notices go out today?"),
        make.chat("answer over budget", "office", "And tomorrow?", refused_as="budget_exhausted"),
    ]


_REQUESTS = {"savings-board": _board, "parking-lessors": _parking}
_SMALL_BUDGETS = {
    "savings-board": {"training": TOO_FEW_TOKENS},
    "parking-lessors": {"office": SECOND_IS_OVER_BUDGET},
}
