"""Check that long lists are cut into pages that leave nothing out."""

from cranberrywall.configuration import Edit
from cranberrywall.console._paging import PAGE, cut_page

NAMES = [f"desk-{number:04d}" for number in range(2 * PAGE + 3)]


def test_pages_follow_each_other_and_leave_nothing_out() -> None:
    seen: list[str] = []
    after = ""
    while True:
        page = cut_page(NAMES, "", after)
        seen.extend(page.names)
        after = page.next_after
        if not after:
            break
    assert seen == NAMES


async def test_a_long_section_is_paged_and_can_be_searched(browse, configuration) -> None:
    edits = tuple(Edit("places", name, {"region": "colombo"}) for name in NAMES)
    await configuration.change(edits, 1, "many", "setup", 0.0)
    browser = await browse("rhea")
    await browser.get("/sections/places")
    assert NAMES[0] in browser.text
    assert NAMES[PAGE] not in browser.text
    await browser.get(f"/sections/places?after={NAMES[PAGE - 1]}")
    assert NAMES[PAGE] in browser.text
    await browser.get("/sections/places?find=0102")
    assert "1 of 1 shown" in browser.text
    assert "desk-0102" in browser.text
