"""Describe, apply and undo differences between documents, entry by entry."""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple, cast, get_type_hints

from cranberrywall.configuration._document import Document

SECTIONS: tuple[str, ...] = tuple(get_type_hints(Document))
"""The top-level keys of the document."""

SINGLE_SECTIONS: frozenset[str] = frozenset({"ledger_groups", "weight_store", "arrival_limits"})
"""Sections that hold one value; an edit of one has an empty name."""


ORDERED_SECTIONS: frozenset[str] = frozenset({"evacuations"})
"""Sections that operators change by orders only.

A new document or a return to an earlier revision leaves them as they are."""

OPTIONAL_SECTIONS: frozenset[str] = frozenset(SECTIONS) - Document.__required_keys__
"""Sections that a document may lack; one of entries by name is then as if empty."""


class Edit(NamedTuple):
    """Put ``value`` in place of one entry of a section; ``None`` removes the entry."""

    section: str
    name: str
    value: Any


def empty_document() -> Document:
    """Return the document in force before the first change.

    >>> empty_document()["ledger_groups"]
    1
    """
    document: dict[str, Any] = {
        section: {} for section in SECTIONS if section not in SINGLE_SECTIONS | OPTIONAL_SECTIONS
    }
    document["ledger_groups"] = 1
    return cast(Document, document)


def apply_edits(document: Document, edits: Iterable[Edit]) -> Document:
    """Return a new document with ``edits`` applied; the given one stays as it is.

    Sections without an edit are shared between the two, so the cost follows the change.
    """
    sections: dict[str, Any] = dict(document)
    copied: set[str] = set()
    for edit in edits:
        if edit.section in SINGLE_SECTIONS:
            _put(sections, edit.section, edit.value)
            continue
        if edit.section not in copied:
            sections[edit.section] = dict(sections.get(edit.section, {}))
            copied.add(edit.section)
        _put(sections[edit.section], edit.name, edit.value)
    return cast(Document, sections)


def edits_between(before: Mapping[str, Any], after: Mapping[str, Any]) -> tuple[Edit, ...]:
    """Return the edits that lead from ``before`` to ``after``, in the sections' order.

    Sections that are changed by orders have none.
    """
    edits: list[Edit] = []
    for section in SECTIONS:
        if section in ORDERED_SECTIONS:
            continue
        if section in SINGLE_SECTIONS:
            if before.get(section) != after.get(section):
                edits.append(Edit(section, "", after.get(section)))
            continue
        edits.extend(_entry_edits(section, before.get(section, {}), after.get(section, {})))
    return tuple(edits)


def inverse_of(document: Document, edits: Iterable[Edit]) -> tuple[Edit, ...]:
    """Return the edits that lead back to ``document`` once ``edits`` were applied to it."""
    sections = cast(dict[str, Any], document)
    inverse: list[Edit] = []
    for edit in edits:
        if edit.section in SINGLE_SECTIONS:
            inverse.append(Edit(edit.section, "", sections.get(edit.section)))
        else:
            old = sections.get(edit.section, {}).get(edit.name)
            inverse.append(Edit(edit.section, edit.name, old))
    return tuple(inverse)


def _put(entries: dict[str, Any], name: str, value: Any) -> None:
    if value is None:
        entries.pop(name, None)
    else:
        entries[name] = value


def _entry_edits(
    section: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterable[Edit]:
    for name in before:
        if name not in after:
            yield Edit(section, name, None)
    for name, value in after.items():
        if name not in before or before[name] != value:
            yield Edit(section, name, value)
