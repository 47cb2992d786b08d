"""Read and write the document as YAML."""

from typing import cast

from result import Err, Ok, Result

from cranberrywall.configuration._document import Document
from cranberrywall.configuration.checks import check_document
from cranberrywall.settings import Problem, parse_yaml

NOT_YAML = "C001"


def load_document(text: str) -> Result[Document, list[Problem]]:
    """Parse and check a document; ``Err`` lists every problem found."""
    parsed = parse_yaml(text)
    if isinstance(parsed, Err):
        return Err([Problem(NOT_YAML, "", parsed.err_value, "correct the YAML at that line")])
    problems = check_document(parsed.ok_value)
    if problems:
        return Err(problems)
    return Ok(cast(Document, parsed.ok_value))


def dump_document(document: Document) -> str:
    """Return the document as YAML that ``load_document`` reads back unchanged."""
    # Programs that write no YAML start without the library.
    import yaml

    return yaml.safe_dump(document, sort_keys=False, allow_unicode=True)
