"""Check that every page is reached from the index, and that relative links resolve."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"
INDEX = DOCS / "README.md"
PAGES = sorted(DOCS.rglob("*.md"))
KINDS = ("Tutorial", "How to", "Topics", "Reference", "Design records", "Release notes")

LINK = re.compile(r"\]\(([^)\s]+)\)")
CODE = re.compile(r"^ *```.*?^ *```|`[^`\n]+`", re.MULTILINE | re.DOTALL)


def links(page: Path) -> list[str]:
    text = CODE.sub("", page.read_text(encoding="utf-8"))
    return [link for link in LINK.findall(text) if "://" not in link]


def anchors(page: Path) -> set[str]:
    text = CODE.sub(lambda code: code.group().strip("`"), page.read_text(encoding="utf-8"))
    titles = re.findall(r"^#+ (.+)$", text, re.MULTILINE)
    return {re.sub(r"[^\w\- ]", "", title.lower()).replace(" ", "-") for title in titles}


def test_the_index_links_every_page():
    linked = {(DOCS / link.partition("#")[0]).resolve() for link in links(INDEX)}
    assert [page for page in PAGES if page.resolve() not in linked | {INDEX.resolve()}] == []


def test_the_index_has_each_kind():
    titles = re.findall(r"^## ([^:\n]+)", INDEX.read_text(encoding="utf-8"), re.MULTILINE)
    assert titles == list(KINDS)


@pytest.mark.parametrize(
    "page", [*PAGES, ROOT / "README.md"], ids=lambda page: str(page.relative_to(ROOT))
)
def test_relative_links_resolve(page: Path):
    for link in links(page):
        file, _, anchor = link.partition("#")
        linked = (page.parent / file) if file else page
        assert linked.exists(), link
        assert not anchor or anchor in anchors(linked), link
