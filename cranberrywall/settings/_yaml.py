"""Read YAML, and refuse a key that is given twice.

The library is imported with the first text: programs that read no YAML start without it.
"""

from functools import cache
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from cranberrywall.settings._problem import Problem


@cache
def _loader() -> type[Any]:
    """Return the class that loads plain data and refuses a key that is given twice.

    YAML readers keep the last of two equal keys without a word: an operator who pastes a
    workspace twice would lose the first one.
    """
    import yaml

    class Loader(yaml.SafeLoader):
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

    return Loader


def parse_yaml(text: str) -> Result[Any, str]:
    """Return the document that ``text`` holds, or say on one line why it is not YAML."""
    import yaml

    try:
        return Ok(yaml.load(text, Loader=_loader()))
    except (yaml.YAMLError, TypeError, ValueError) as error:
        return Err("is not YAML: " + " ".join(str(error).split()))


def read_yaml(path: Path) -> Result[Any, Problem]:
    """Return the file's document, or the problem ``S001`` or ``S002``."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        message = f"cannot be read: {error.strerror}"
        return Err(Problem("S001", str(path), message, "name a file that this user may read"))
    except UnicodeDecodeError:
        return Err(Problem("S002", str(path), "is not UTF-8 text", "save it as UTF-8"))
    return parse_yaml(text).map_err(
        lambda message: Problem("S002", str(path), message, "mend the line named")
    )
