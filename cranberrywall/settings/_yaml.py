"""Read YAML, and refuse a key that stands twice."""

from pathlib import Path
from typing import Any

import yaml
from result import Err, Ok, Result

from cranberrywall.settings._problem import Problem


class _Loader(yaml.SafeLoader):
    """Load plain YAML; the library itself takes the last of two equal keys without a word."""

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict[Any, Any]:
        seen = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if key in seen:
                raise yaml.constructor.ConstructorError(
                    None, None, f"the key `{key}` stands twice", key_node.start_mark
                )
            seen.add(key)
        return super().construct_mapping(node, deep)


def read_yaml(path: Path) -> Result[Any, Problem]:
    """Return the file's document, or the problem ``S001`` or ``S002``."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        message = f"cannot be read: {error.strerror}"
        return Err(Problem("S001", str(path), message, "name a file that this user may read"))
    except UnicodeDecodeError:
        return Err(Problem("S002", str(path), "is not UTF-8 text", "save it as UTF-8"))
    try:
        return Ok(yaml.load(text, _Loader))
    except (yaml.YAMLError, TypeError) as error:
        message = " ".join(str(error).split())
        return Err(Problem("S002", str(path), f"is not YAML: {message}", "mend the line named"))
