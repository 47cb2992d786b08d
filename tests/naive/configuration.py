"""Keep every document whole and every answer for ever, as a single copy with endless memory."""

import copy
from typing import Any

from cranberrywall.configuration import Edit, check_document, empty_document


class NaiveConfiguration:
    """Accept a change where none of its sections differs from the document it is based on."""

    def __init__(self) -> None:
        self.documents: list[Any] = [empty_document()]
        self.changes: list[set[str]] = [set()]
        self._answer_by_id: dict[str, tuple[Any, Any]] = {}

    def change(self, edits: tuple[Edit, ...], based_on: int, change_id: str) -> Any:
        """Return the new revision's number, or the kind of the refusal."""
        return self._once(change_id, (edits, based_on), lambda: self._change(edits, based_on))

    def roll_back(self, to: int, based_on: int, change_id: str) -> Any:
        """Return the new revision's number, or the kind of the refusal."""
        return self._once(change_id, (to, based_on), lambda: self._roll_back(to, based_on))

    def _once(self, change_id: str, content: Any, decide: Any) -> Any:
        if change_id not in self._answer_by_id:
            self._answer_by_id[change_id] = (content, decide())
        known, answer = self._answer_by_id[change_id]
        return answer if known == content else "conflict"

    def _change(self, edits: tuple[Edit, ...], based_on: int) -> Any:
        after = copy.deepcopy(self.documents[-1])
        for edit in edits:
            if edit.value is None:
                after[edit.section].pop(edit.name, None)
            else:
                after[edit.section][edit.name] = edit.value
        return self._commit(after, {edit.section for edit in edits}, based_on)

    def _roll_back(self, to: int, based_on: int) -> Any:
        if based_on >= len(self.documents):
            return "bad_request"
        if not 0 < to < len(self.documents):
            return "not_found"
        now, then = self.documents[-1], self.documents[to]
        sections = {name for name in now if now[name] != then[name]}
        return self._commit(copy.deepcopy(then), sections, based_on)

    def _commit(self, after: Any, sections: set[str], based_on: int) -> Any:
        if based_on >= len(self.documents) or not sections:
            return "bad_request"
        if any(sections & changed for changed in self.changes[based_on + 1 :]):
            return "conflict"
        if check_document(after):
            return "bad_request"
        self.documents.append(after)
        self.changes.append(sections)
        return len(self.documents) - 1
