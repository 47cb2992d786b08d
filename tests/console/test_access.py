"""Check who gets in, what each role may do, and that forged and hostile input does nothing."""

import json

from cranberrywall.configuration import Edit
from cranberrywall.console import Role, make_accounts
from cranberrywall.console._audit import AuditEntry, make_audit
from cranberrywall.console._sessions import IDLE_S, MOST_SESSIONS, WAIT_S, LoginGuard, Sessions
from tests.fakes.storage import FakeStorage


async def test_pages_need_a_log_in(browse) -> None:
    browser = await browse("")
    for path in ("/", "/budgets", "/sections/hosts", "/audit"):
        assert "Log in" in await browser.get(path)
    await browser.log_in("omar", "wrong password")
    assert browser.status == 403
    assert "name or the password is wrong" in browser.text
    await browser.log_in("a password in the wrong field", "omar")
    reader = await browse("rhea")
    assert "a password in the wrong field" not in await reader.get("/audit")
    assert "(unknown name)" in reader.text


async def test_a_session_ends_with_its_account(browse, storage) -> None:
    browser = await browse("omar")
    make_accounts(storage).put("omar", Role.READER, "correct horse battery")
    assert "Log in" in await browser.get("/")


def test_a_flood_of_visitors_pushes_no_operator_out() -> None:
    sessions = Sessions()
    token = sessions.begin("omar", Role.OPERATOR, now=0.0).token
    for _ in range(MOST_SESSIONS + 1):
        sessions.begin("", Role.READER, now=0.0)
    assert sessions.find(token, now=0.0) is not None


async def test_a_reader_sees_and_may_not_change(browse, configuration) -> None:
    browser = await browse("rhea")
    await browser.get("/sections/places")
    assert browser.status == 200
    assert "/add/places" not in browser.text
    await browser.get("/add/places")
    assert browser.status == 403
    fields = [("csrf", browser.csrf()), ("step", "apply"), ("name", "p"), ("region", "r")]
    await browser.post("/submit/places", fields)
    assert browser.status == 403
    assert (await configuration.document()).ok_value.revision == 1


async def test_a_form_of_another_site_does_nothing(browse, configuration) -> None:
    """An operator who is logged in opens another site; it sends a form to the console
    with the operator's cookie. Nothing changes, since the form lacks the session's token.
    """
    browser = await browse("omar")
    await browser.get("/add/places")
    typed = [field for field in browser.hidden() if field[0] != "csrf"]
    forged = [*typed, ("name", "p"), ("region", "r"), ("step", "apply"), ("csrf", "guess")]
    await browser.post("/submit/places", forged)
    assert browser.status == 403
    assert (await configuration.document()).ok_value.revision == 1


async def test_what_is_shown_is_escaped(browse, configuration) -> None:
    hostile = "<script>alert(1)</script>"
    await configuration.change((Edit("places", "x", {"region": "r"}),), 1, "c", hostile, 0.0)
    browser = await browse("omar")
    assert hostile not in await browser.get("/revisions")
    assert "&lt;script&gt;" in browser.text
    await browser.get("/add/places")
    await browser.post("/submit/places", [*browser.hidden(), ("name", hostile)])
    assert hostile not in browser.text


def test_passwords_are_kept_hashed() -> None:
    storage = FakeStorage()
    accounts = make_accounts(storage)
    assert accounts.put("omar", Role.OPERATOR, "short").is_err()
    accounts.put("omar", Role.OPERATOR, "correct horse battery")
    assert b"correct horse" not in (storage.read("accounts.json") or b"")
    assert accounts.check("omar", "correct horse battery") is not None
    assert accounts.check("omar", "correct horse batterz") is None
    assert accounts.check("nobody", "correct horse battery") is None
    accounts.remove("omar")
    assert accounts.check("omar", "correct horse battery") is None


def test_sessions_end_and_guessing_is_slowed() -> None:
    sessions = Sessions()
    token = sessions.begin("omar", Role.OPERATOR, now=0.0).token
    assert sessions.find(token, now=IDLE_S) is not None
    assert sessions.find(token, now=2 * IDLE_S + 1) is None
    guard = LoginGuard()
    for _ in range(5):
        assert guard.wait_s("omar", now=0.0) == 0
        guard.failed("omar", now=0.0)
    assert guard.wait_s("omar", now=1.0) == WAIT_S - 1
    assert guard.wait_s("ana", now=1.0) == 0
    assert guard.wait_s("omar", now=WAIT_S) == 0


async def test_the_trail_survives_a_restart_and_a_torn_line() -> None:
    storage = FakeStorage()
    audit = make_audit(storage)
    entry = AuditEntry(1.0, "omar", "top up", "desk by 5", "done")
    await audit.add(entry)
    audit.close()
    file = storage.open_append("audit.jsonl")
    file.append(json.dumps({"at": 2.0, "operator": "o"}).encode()[:-3])
    file.sync()
    assert make_audit(storage).newest() == [entry]
