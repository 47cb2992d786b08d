"""Check that the page of HTTP names every route, header and limit that the code has."""

import re
from pathlib import Path

from cranberrywall.callers import BodyLimits, CallerLimits
from cranberrywall.callers._services import _FORWARDED_HEADERS
from cranberrywall.requests._service_client import MAX_ANSWER_BYTES
from cranberrywall.targets import ANNOUNCE_PATH
from tests.requests.fleet import Fleet, chat, headers

PAGE = (Path(__file__).parents[2] / "docs" / "reference" / "http.md").read_text("utf-8")


async def test_the_page_lists_each_route() -> None:
    async with Fleet() as fleet:
        entry = await fleet.entry()
        served = {
            f"{'ANY' if route.method == '*' else route.method} {route.resource.canonical}"
            for route in entry.stack.app.router.routes()
            if route.method != "HEAD" and route.resource is not None
        }
    listed = set(re.findall(r"^\| `([A-Z]+ /[^`]*)` \|", PAGE, re.MULTILINE))
    assert listed == served | {f"POST {ANNOUNCE_PATH}"}


async def test_the_page_lists_each_header_of_answers() -> None:
    async with Fleet() as fleet:
        entry = await fleet.entry()
        url = f"{entry.url}/v1/chat/completions"
        sent = headers() | {"X-Deadline-S": "0.05"}
        async with fleet.session.post(url, json=chat(), headers=sent) as answer:
            own = {name.lower() for name in answer.headers}
            document = await answer.json()
    of_http = {"content-type", "content-length", "date", "server"}
    assert own - of_http == {"x-request-id", "x-ran", "retry-after"}
    for header in own - of_http:
        assert f"| `{header.title()}` |" in PAGE
    fields = ", ".join(f'"{field}"' for field in document["error"])
    assert f'{{"error": {{{fields}}}}}' in PAGE


def test_the_page_gives_the_limits_in_force() -> None:
    for header in _FORWARDED_HEADERS:
        assert f"`{header.title()}`" in PAGE
    assert f"{BodyLimits().read_timeout_s:g} s to arrive" in PAGE
    assert f"is cut off after {CallerLimits().write_timeout_s:g} s" in PAGE
    assert f"| {MAX_ANSWER_BYTES // 2**20} MiB |" in PAGE
