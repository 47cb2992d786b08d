"""Turn the document's entries into forms, and forms into entries."""

import re
from collections.abc import Mapping
from typing import Any

from wtforms import (
    BooleanField,
    Field,
    FloatField,
    Form,
    IntegerField,
    SelectChoice,
    SelectField,
    SelectMultipleField,
    StringField,
    TextAreaField,
)
from wtforms.validators import InputRequired, NumberRange, Optional, Regexp
from wtforms.widgets import CheckboxInput, ListWidget

from cranberrywall.configuration import Document
from cranberrywall.configuration.messages import DocumentAt

NAME_PATTERN = r"^[a-z0-9][a-z0-9.-]{0,62}$"
NAME_HINT = "lower-case letters, digits, '.' and '-', at most 63"
FORM_SECTIONS = (
    "workspaces",
    "budgets",
    "priorities",
    "models",
    "services",
    "places",
    "hosts",
    "policies",
)


class _CheckboxesField(SelectMultipleField):
    widget = ListWidget(prefix_label=False)
    option_widget = CheckboxInput()


class EntryForm(Form):
    """Hold what every entry's form has: the entry's name."""

    name = StringField("Name", [InputRequired(), Regexp(NAME_PATTERN, message=NAME_HINT)])


class WorkspaceForm(EntryForm):
    """Edit a workspace."""

    budget = SelectField("Budget")
    models = _CheckboxesField("Models it may call")
    services = _CheckboxesField("Services it may call")
    priority = SelectField("Priority where a request names none")
    priorities = _CheckboxesField("Priorities a request may name")
    policy = SelectField("Policy")
    concurrent = IntegerField(
        "Requests in progress on each entry host, at most", [InputRequired(), NumberRange(min=1)]
    )
    keys = _CheckboxesField("Keys to keep")
    new_key = StringField(
        "Make a new key with this name",
        [Optional(), Regexp(NAME_PATTERN, message=NAME_HINT)],
        description="Leave it empty to make none. The key is shown once, on the next page.",
    )
    new_key_sha256 = StringField("", [Optional(), Regexp("^[0-9a-f]{64}$")])


class BudgetForm(EntryForm):
    """Edit a budget; its money is topped up on the budget's own page."""

    unit = SelectField("Counted in", choices=[SelectChoice("tokens"), SelectChoice("answers")])


class PriorityForm(EntryForm):
    """Edit a priority class."""

    rank = IntegerField("Rank (0 goes first, 9 last)", [InputRequired(), NumberRange(min=0, max=9)])
    deadline_s = FloatField("Answered within (seconds)", [InputRequired(), NumberRange(min=0.001)])


class ModelForm(EntryForm):
    """Edit a model."""

    version = StringField("Version", [InputRequired(), Regexp(NAME_PATTERN, message=NAME_HINT)])
    output_limit = IntegerField("Tokens an answer, at most", [InputRequired(), NumberRange(min=1)])
    context_limit = IntegerField(
        "Tokens of prompt and answer, at most", [InputRequired(), NumberRange(min=1)]
    )
    copies = IntegerField("Engines that hold it (optional)", [Optional(), NumberRange(min=1)])


class ServiceForm(EntryForm):
    """Edit a service."""

    not_repeatable = TextAreaField(
        "Calls that run at most once", description="One a line, as POST /renewals."
    )
    cost = IntegerField("Cost of an answer", [InputRequired(), NumberRange(min=1)])


class PlaceForm(EntryForm):
    """Edit a place."""

    region = StringField("Region", [InputRequired(), Regexp(NAME_PATTERN, message=NAME_HINT)])


class HostForm(EntryForm):
    """Edit a host."""

    place = SelectField("Place")
    roles = _CheckboxesField(
        "Roles", choices=[SelectChoice(role) for role in ("entry", "control", "console")]
    )
    links = StringField("Address for the system's own streams (IP:port)", [InputRequired()])
    http = StringField("Address for callers (IP:port)", [Optional()])
    disk = BooleanField("Has a disk")


class PolicyForm(EntryForm):
    """Edit a policy."""

    held_back = FloatField(
        "Share the ledger holds back for shortages (0 to 1)",
        [InputRequired(), NumberRange(min=0, max=1)],
    )
    isolated = SelectField(
        "A host that is cut off",
        choices=[
            SelectChoice("refuse", "refuses new work"),
            SelectChoice("spend", "spends what it holds"),
        ],
    )
    input_margin = FloatField(
        "Margin on the estimate of input tokens (at least 1)",
        [InputRequired(), NumberRange(min=1)],
    )


_FORM_BY_SECTION: dict[str, type[EntryForm]] = {
    "workspaces": WorkspaceForm,
    "budgets": BudgetForm,
    "priorities": PriorityForm,
    "models": ModelForm,
    "services": ServiceForm,
    "places": PlaceForm,
    "hosts": HostForm,
    "policies": PolicyForm,
}


def make_form(
    section: str, seen: DocumentAt, name: str, typed: Mapping[str, Any] | None
) -> EntryForm:
    """Return the form of one entry, filled from ``typed`` or else from the document."""
    entry = seen.document[section].get(name)
    data = {"name": name, **(_fields_of(section, entry) if entry else {})}
    form = _FORM_BY_SECTION[section](typed, data=data)
    if isinstance(form, WorkspaceForm):
        _offer_to_workspace(form, seen.checked, entry)
    if isinstance(form, HostForm):
        form.place.choices = _choices(seen.checked["places"], [form.place.data])
    return form


def entry_of(section: str, form: EntryForm, before: Mapping[str, Any] | None) -> dict[str, Any]:
    """Return the document's entry that a valid form describes."""
    values = {name: field.data for name, field in form._fields.items() if name != "name"}
    if section == "workspaces":
        return _workspace_entry(values, before)
    if section == "services":
        values["not_repeatable"] = _lines(values["not_repeatable"])
    return {name: value for name, value in values.items() if value not in (None, "")}


def visible_fields(form: EntryForm) -> list[Field]:
    """Return the fields that an operator sees; the rest travels hidden."""
    return [field for field in form if field.name not in ("name", "new_key_sha256")]


def _fields_of(section: str, entry: Mapping[str, Any]) -> dict[str, Any]:
    if section == "workspaces":
        reach = entry["reach"]
        return {**entry, "models": reach["models"], "services": reach["services"]} | {
            "keys": list(entry["keys"])
        }
    if section == "services":
        return {**entry, "not_repeatable": "\n".join(entry["not_repeatable"])}
    return dict(entry)


def _offer_to_workspace(
    form: WorkspaceForm, document: Document, entry: Mapping[str, Any] | None
) -> None:
    form.budget.choices = _choices(document["budgets"], [form.budget.data])
    form.policy.choices = _choices(document["policies"], [form.policy.data])
    form.priority.choices = _choices(document["priorities"], [form.priority.data])
    form.priorities.choices = _choices(document["priorities"], form.priorities.data)
    form.models.choices = _choices(document["models"], form.models.data)
    form.services.choices = _choices(document["services"], form.services.data)
    form.keys.choices = _choices(entry["keys"] if entry else {}, [])


def _choices(names: Mapping[str, Any], chosen: list[str] | None) -> list[SelectChoice]:
    # A name that another operator removed meanwhile stays on offer, so that what was
    # chosen is not lost without a word; the document's check then names it.
    offered = [*names, *(name for name in chosen or [] if name and name not in names)]
    return [SelectChoice(name) for name in offered]


def _workspace_entry(values: dict[str, Any], before: Mapping[str, Any] | None) -> dict[str, Any]:
    old_keys: Mapping[str, Any] = before["keys"] if before else {}
    keys = {name: old_keys[name] for name in values["keys"] or [] if name in old_keys}
    if values["new_key"] and values["new_key_sha256"]:
        keys[values["new_key"]] = {"sha256": values["new_key_sha256"]}
    return {
        "keys": keys,
        "budget": values["budget"],
        "reach": {"models": values["models"], "services": values["services"]},
        "priority": values["priority"],
        "priorities": values["priorities"],
        "policy": values["policy"],
        "concurrent": values["concurrent"],
    }


def _lines(text: str | None) -> list[str]:
    return [line.strip() for line in re.split(r"[\r\n]+", text or "") if line.strip()]
