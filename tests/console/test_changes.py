"""Check the way from a form to a revision, also when operators race or answers get lost."""

from cranberrywall.configuration import Edit, load_document

DESK = [
    ("budget", "desk"),
    ("models", "drafting-llm"),
    ("services", "ledger-api"),
    ("priority", "letter"),
    ("priorities", "letter"),
    ("priorities", "status"),
    ("policy", "strict"),
    ("keys", "first"),
]


def fields(browser, concurrent: str, **more: str) -> list[tuple[str, str]]:
    return [*browser.hidden(), *DESK, ("concurrent", concurrent), *more.items()]


async def test_a_change_is_previewed_and_then_in_force(browse, configuration) -> None:
    browser = await browse("omar")
    await browser.get("/change/workspaces/desk")
    assert "based on revision 1" in browser.text
    await browser.post("/submit/workspaces", fields(browser, "9", action="change"))
    assert "concurrent: 4" in browser.text
    assert "concurrent: 9" in browser.text
    assert (await configuration.document()).ok_value.revision == 1
    await browser.post("/submit/workspaces", [*browser.hidden(), ("step", "apply")])
    assert browser.status == 200
    assert "Revision 2" in browser.text
    assert "In force on 0 of 1 entry hosts" in browser.text
    assert "omar" in await browser.get("/audit")
    desk = (await configuration.document()).ok_value.document["workspaces"]["desk"]
    assert desk["concurrent"] == 9
    assert list(desk["keys"]) == ["first"]


async def test_a_clash_shows_both_changes_and_loses_nothing(browse, configuration) -> None:
    """Two operators open the same form. The second to apply sees that the first was
    faster: both changes stand side by side, and what the second typed is still there to
    be applied on the newest revision. The cause: both forms hold the same revision.
    """
    browser = await browse("omar")
    await browser.get("/change/workspaces/desk")
    await browser.post("/submit/workspaces", fields(browser, "9", action="change"))
    mine = [*browser.hidden(), ("step", "apply")]
    before = (await configuration.document()).ok_value.document["workspaces"]["desk"]
    theirs = Edit("workspaces", "desk", {**before, "concurrent": 7})
    await configuration.change((theirs,), 1, "other", "maria", 0.0)
    await browser.post("/submit/workspaces", mine)
    assert browser.status == 409
    assert "maria" in browser.text
    assert "concurrent: 7" in browser.text
    assert "concurrent: 9" in browser.text
    await browser.post("/submit/workspaces", [*browser.hidden(), ("step", "edit")])
    assert "based on revision 2" in browser.text
    assert 'value="9"' in browser.text
    await browser.post("/submit/workspaces", fields(browser, "9", action="change"))
    await browser.post("/submit/workspaces", [*browser.hidden(), ("step", "apply")])
    desk = (await configuration.document()).ok_value.document["workspaces"]["desk"]
    assert desk["concurrent"] == 9


async def test_a_resend_after_a_lost_answer_changes_once(browse, configuration, control) -> None:
    """An operator applies a change and sees that no answer came back. It was committed:
    the answer got lost on the way. Sending it again shows the first answer's revision.
    """
    browser = await browse("omar")
    await browser.get("/change/workspaces/desk")
    await browser.post("/submit/workspaces", fields(browser, "9", action="change"))
    control.group_by_name["configuration"].answers_lost = 1
    await browser.post("/submit/workspaces", [*browser.hidden(), ("step", "apply")])
    assert browser.status == 503
    assert "Sending it again is safe" in browser.text
    await browser.post("/submit/workspaces", [*browser.hidden(), ("step", "apply")])
    assert "Revision 2" in browser.text
    assert (await configuration.document()).ok_value.revision == 2


async def test_bad_input_is_named_and_kept(browse) -> None:
    browser = await browse("omar")
    await browser.get("/change/workspaces/desk")
    typed = [*fields(browser, "0", action="change"), ("new_key", "Not A Name")]
    await browser.post("/submit/workspaces", typed)
    assert browser.status == 400
    assert "at least 1" in browser.text
    assert 'value="Not A Name"' in browser.text
    await browser.get("/change/priorities/letter")
    await browser.post("/submit/priorities", [*browser.hidden(), ("action", "remove")])
    assert browser.status == 400
    assert "workspaces.desk" in browser.text


async def test_a_new_key_is_shown_once_and_kept_as_a_hash(browse, configuration) -> None:
    browser = await browse("omar")
    await browser.get("/change/workspaces/desk")
    typed = [*fields(browser, "4", action="change"), ("new_key", "second")]
    await browser.post("/submit/workspaces", typed)
    assert "shown only here" in browser.text
    sent = [*browser.hidden(), ("step", "apply")]
    await browser.post("/submit/workspaces", sent)
    keys = (await configuration.document()).ok_value.document["workspaces"]["desk"]["keys"]
    assert set(keys) == {"first", "second"}
    assert dict(sent)["new_key_sha256"] == keys["second"]["sha256"]
    assert "shown only here" not in browser.text


async def test_each_section_has_its_form(browse, configuration) -> None:
    browser = await browse("omar")
    document = (await configuration.document()).ok_value.document
    for section, entries in document.items():
        if section == "ledger_groups":
            continue
        name = next(iter(entries))
        assert name in await browser.get(f"/sections/{section}")
        await browser.get(f"/change/{section}/{name}")
        assert browser.status == 200
        await browser.get(f"/add/{section}")
        assert browser.status == 200


async def test_an_entry_can_be_added_and_removed(browse, configuration) -> None:
    browser = await browse("omar")
    await browser.get("/add/places")
    typed = [*browser.hidden(), ("name", "kolonnawa-dc"), ("region", "colombo")]
    await browser.post("/submit/places", [*typed, ("step", "preview")])
    await browser.post("/submit/places", [*browser.hidden(), ("step", "apply")])
    assert "kolonnawa-dc" in (await configuration.document()).ok_value.document["places"]
    await browser.get("/change/places/kolonnawa-dc")
    await browser.post("/submit/places", [*browser.hidden(), ("action", "remove")])
    await browser.post("/submit/places", [*browser.hidden(), ("step", "apply")])
    assert "kolonnawa-dc" not in (await configuration.document()).ok_value.document["places"]


async def test_the_document_in_force_can_be_kept_as_yaml(browse, configuration) -> None:
    browser = await browse("rhea")
    loaded = load_document(await browser.get("/document.yaml"))
    assert loaded.unwrap() == (await configuration.document()).ok_value.document
