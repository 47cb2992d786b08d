"""Read and write the document as YAML."""

from typing import Any, cast

import yaml
from result import Err, Ok, Result

from cranberrywall.configuration._document import Document
from cranberrywall.configuration._shape import Problem
from cranberrywall.configuration.checks import check_document

NOT_YAML = "C001"


class _Loader(yaml.SafeLoader):
    """Load plain data, and refuse a key that is given twice.

    YAML readers keep the last of two equal keys without a word: an operator who pastes a
    workspace twice would lose the first one.
    """

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict[Any, Any]:
        """Build one mapping, or raise ``ConstructorError`` naming the key given twice."""
        seen = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if key in seen:
                raise yaml.constructor.ConstructorError(
                    None, None, f"the key {key!r} is given twice", key_node.start_mark
                )
            seen.add(key)
        return super().construct_mapping(node, deep)


def load_document(text: str) -> Result[Document, list[Problem]]:
    """Parse and check a document; ``Err`` lists every problem found."""
    try:
        data = yaml.load(text, Loader=_Loader)
    except (yaml.YAMLError, TypeError, ValueError) as error:
        return Err([Problem(NOT_YAML, "", _one_line(error), "correct the YAML at that line")])
    problems = check_document(data)
    if problems:
        return Err(problems)
    return Ok(cast(Document, data))


def dump_document(document: Document) -> str:
    """Return the document as YAML that ``load_document`` reads back unchanged."""
    return yaml.safe_dump(document, sort_keys=False, allow_unicode=True)


def _one_line(error: Exception) -> str:
    return "is not YAML: " + " ".join(str(error).split())
