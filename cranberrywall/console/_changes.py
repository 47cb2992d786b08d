"""Change the document by forms: preview, apply, clash, resend."""

import hashlib
import secrets
from typing import NamedTuple

from aiohttp import web
from multidict import MultiDict
from result import Err, Ok, Result

from cranberrywall.configuration import (
    ChangeRefusal,
    ConfigurationClient,
    Edit,
    apply_edits,
    check_document,
    dump_document,
)
from cranberrywall.configuration.messages import Delta, DocumentAt
from cranberrywall.console._audit import Audit, AuditEntry
from cranberrywall.console._differences import difference, entry_yaml
from cranberrywall.console._entries import (
    FORM_SECTIONS,
    EntryForm,
    WorkspaceForm,
    entry_of,
    make_form,
    visible_fields,
)
from cranberrywall.console._pages import Pages, go_to
from cranberrywall.console._paging import page_names
from cranberrywall.console._visits import CSRF_FIELD, Visit
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.runtime import Clock
from cranberrywall.settings import Problem

KEY_BYTES = 24
ANSWER_LOST_KINDS = frozenset(
    {ErrorKind.TIMEOUT, ErrorKind.UNREACHABLE, ErrorKind.NOT_CURRENT, ErrorKind.NOT_LEADER}
)
_FLOW_FIELDS = frozenset({CSRF_FIELD, "step", "revision", "change_id", "action", "name"})


class Draft(NamedTuple):
    """Hold a change on its way through the pages.

    ``action`` is ``add``, ``change`` or ``remove``. ``typed`` is what the operator typed,
    as the browser sent it.
    """

    section: str
    name: str
    action: str
    revision: int
    change_id: str
    typed: MultiDict[str]

    def hidden(self) -> list[tuple[str, str]]:
        """Return the fields that carry the draft to the next page."""
        flow = [
            ("action", self.action),
            ("name", self.name),
            ("revision", str(self.revision)),
            ("change_id", self.change_id),
        ]
        return flow + list(self.typed.items())


class ChangePages:
    """Serve the sections of the document and the way from a form to a revision."""

    def __init__(
        self, client: ConfigurationClient, audit: Audit, pages: Pages, clock: Clock
    ) -> None:
        self._client = client
        self._audit = audit
        self._pages = pages
        self._clock = clock

    async def show_section(self, visit: Visit) -> web.StreamResponse:
        """List the entries of one section."""
        section = _section(visit)
        result = await self._client.document()
        if isinstance(result, Err):
            return self._pages.refusal(visit.session, result.err_value)
        seen: DocumentAt = result.ok_value
        page = page_names(visit.request, seen.document[section])
        entries = {
            name: entry_yaml(section, name, seen.document[section][name]).split("\n", 2)[2]
            for name in page.names
        }
        return self._pages.page(
            visit.session,
            "section.html",
            section=section,
            page=page,
            entries=entries,
            revision=seen.revision,
        )

    async def show_document(self, visit: Visit) -> web.StreamResponse:
        """Give the whole document as YAML, to keep or to compare."""
        result = await self._client.document()
        if isinstance(result, Err):
            return self._pages.refusal(visit.session, result.err_value)
        seen: DocumentAt = result.ok_value
        headers = {
            "Content-Disposition": f'attachment; filename="configuration-{seen.revision}.yaml"'
        }
        text = dump_document(seen.checked)
        return web.Response(text=text, content_type="application/yaml", headers=headers)

    async def show_add(self, visit: Visit) -> web.StreamResponse:
        """Show the empty form of a new entry."""
        return await self._begin(visit, "add", "")

    async def show_change(self, visit: Visit) -> web.StreamResponse:
        """Show the form of one entry as it is in force."""
        return await self._begin(visit, "change", visit.part("name"))

    async def submit(self, visit: Visit) -> web.StreamResponse:
        """Take one step: back to the form, to the preview, or apply."""
        draft = _draft_of(visit)
        result = await self._document_seen(draft)
        if isinstance(result, Err):
            return self._pages.refusal(visit.session, result.err_value)
        seen = result.ok_value
        form = self._form(draft, seen)
        if visit.field("step") == "edit":
            return self._show_form(visit, draft, form, [])
        problems = self._problems(draft, form, seen)
        if problems:
            return self._show_form(visit, draft, form, problems)
        if visit.field("step") == "apply":
            return await self._apply(visit, draft, form, seen)
        return self._preview(visit, draft, form, seen)

    async def _begin(self, visit: Visit, action: str, name: str) -> web.StreamResponse:
        section = _section(visit)
        result = await self._client.document()
        if isinstance(result, Err):
            return self._pages.refusal(visit.session, result.err_value)
        seen: DocumentAt = result.ok_value
        if action == "change" and name not in seen.document[section]:
            message = f"There is no {name} in {section} any more."
            return self._pages.message(visit.session, "Not found", message, status=404)
        draft = Draft(section, name, action, seen.revision, _new_change_id(), MultiDict())
        form = make_form(section, seen, name, None)
        return self._show_form(visit, draft, form, [])

    async def _document_seen(self, draft: Draft) -> Result[DocumentAt, Refusal]:
        """Return the document that the form was based on."""
        return await self._client.document(draft.revision)

    def _form(self, draft: Draft, seen: DocumentAt) -> EntryForm:
        typed = MultiDict(draft.typed)
        typed["name"] = draft.name
        return make_form(draft.section, seen, draft.name, typed)

    def _problems(self, draft: Draft, form: EntryForm, seen: DocumentAt) -> list[Problem]:
        if draft.action == "remove":
            return check_document(apply_edits(seen.checked, [_edit(draft, form, seen)]))
        if not form.validate():
            return [
                Problem("", str(form[name].label.text or name), "; ".join(errors), "correct it")
                for name, errors in form.errors.items()
                if name is not None
            ]
        if draft.action == "add" and draft.name in seen.document[draft.section]:
            return [Problem("", "Name", f"{draft.name} is there already", "choose another name")]
        return check_document(apply_edits(seen.checked, [_edit(draft, form, seen)]))

    def _show_form(
        self, visit: Visit, draft: Draft, form: EntryForm, problems: list[Problem]
    ) -> web.StreamResponse:
        return self._pages.page(
            visit.session,
            "entry.html",
            400 if problems else 200,
            draft=draft,
            form=form,
            fields=visible_fields(form),
            problems=problems,
        )

    def _preview(
        self, visit: Visit, draft: Draft, form: EntryForm, seen: DocumentAt
    ) -> web.StreamResponse:
        new_key = self._make_key(draft, form)
        before = seen.document[draft.section].get(draft.name)
        after = _edit(draft, form, seen).value
        return self._pages.page(
            visit.session,
            "preview.html",
            draft=draft,
            lines=difference(draft.section, draft.name, before, after),
            new_key=new_key,
        )

    def _make_key(self, draft: Draft, form: EntryForm) -> str:
        """Make the key that the form asks for; only its hash goes on from here."""
        if not isinstance(form, WorkspaceForm) or draft.action == "remove":
            return ""
        if not form.new_key.data:
            return ""
        key = secrets.token_urlsafe(KEY_BYTES)
        digest = hashlib.sha256(key.encode()).hexdigest()
        form.new_key_sha256.data = digest
        draft.typed["new_key_sha256"] = digest
        return key

    async def _apply(
        self, visit: Visit, draft: Draft, form: EntryForm, seen: DocumentAt
    ) -> web.StreamResponse:
        edit = _edit(draft, form, seen)
        at = self._clock.wall()
        operator = visit.session.name
        result = await self._client.change((edit,), draft.revision, draft.change_id, operator, at)
        if isinstance(result, Ok):
            revision = result.ok_value.number
            await self._note(visit, draft, f"revision {revision}")
            return go_to(f"/revisions/{revision}")
        await self._note(visit, draft, str(result.err_value.refusal))
        return self._not_changed(visit, draft, form, seen, result.err_value)

    def _not_changed(
        self,
        visit: Visit,
        draft: Draft,
        form: EntryForm,
        seen: DocumentAt,
        refused: ChangeRefusal,
    ) -> web.StreamResponse:
        if refused.refusal.kind in ANSWER_LOST_KINDS:
            # The change may be in force. The same change id goes out again, so a resend
            # gets the first answer and cannot change anything twice.
            return self._pages.page(
                visit.session, "lost.html", 503, draft=draft, refusal=refused.refusal
            )
        if refused.refusal.kind is ErrorKind.CONFLICT and refused.since:
            return self._clash(visit, draft, form, seen, refused.since)
        problems = list(refused.problems) or [
            Problem("", refused.refusal.field, refused.refusal.message, refused.refusal.remedy)
        ]
        fresh = draft._replace(change_id=_new_change_id())
        return self._show_form(visit, fresh, form, problems)

    def _clash(
        self,
        visit: Visit,
        draft: Draft,
        form: EntryForm,
        seen: DocumentAt,
        since: tuple[Delta, ...],
    ) -> web.StreamResponse:
        # The refusal belongs to the old change id, and the old revision would clash again:
        # what goes on is what was typed, based on the newest revision.
        newest = since[-1].revision.number
        fresh = draft._replace(revision=newest, change_id=_new_change_id())
        entries = seen.document[draft.section]
        theirs = [
            {
                "revision": delta.revision,
                "same": theirs.name == draft.name,
                "lines": difference(
                    draft.section, theirs.name, entries.get(theirs.name), theirs.value
                ),
            }
            for delta in since
            for theirs in delta.edits
            if theirs.section == draft.section
        ]
        mine = _edit(draft, form, seen).value
        return self._pages.page(
            visit.session,
            "clash.html",
            409,
            draft=fresh,
            based_on=draft.revision,
            theirs=theirs,
            mine=difference(draft.section, draft.name, entries.get(draft.name), mine),
        )

    async def _note(self, visit: Visit, draft: Draft, outcome: str) -> None:
        what = f"{draft.section}.{draft.name} based on revision {draft.revision}"
        name = visit.session.name
        entry = AuditEntry(self._clock.wall(), name, f"{draft.action} entry", what, outcome)
        await self._audit.add(entry)


def _section(visit: Visit) -> str:
    section = visit.part("section")
    if section not in FORM_SECTIONS:
        raise web.HTTPNotFound
    return section


def _draft_of(visit: Visit) -> Draft:
    typed = MultiDict(
        (name, value) for name, value in visit.form.items() if name not in _FLOW_FIELDS
    )
    try:
        revision = int(visit.field("revision"))
    except ValueError as error:
        raise web.HTTPBadRequest from error
    action = visit.field("action")
    if action not in ("add", "change", "remove"):
        raise web.HTTPBadRequest
    return Draft(
        section=_section(visit),
        name=visit.field("name").strip(),
        action=action,
        revision=revision,
        change_id=visit.field("change_id"),
        typed=typed,
    )


def _edit(draft: Draft, form: EntryForm, seen: DocumentAt) -> Edit:
    if draft.action == "remove":
        return Edit(draft.section, draft.name, None)
    before = seen.document[draft.section].get(draft.name)
    return Edit(draft.section, draft.name, entry_of(draft.section, form, before))


def _new_change_id() -> str:
    return f"console-{secrets.token_hex(12)}"
