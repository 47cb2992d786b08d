"""Keep the compiled modules of a program in one file, and import them from it.

A program imports hundreds of modules. To look for each in every folder of the path, and to open
and read its file, is a large part of a start on a small share of a core.

The module imports next to nothing itself, as all that is loaded before the archive is looked for.
"""

import importlib.util
import marshal
import os
import sys
from importlib.machinery import ModuleSpec
from types import CodeType, ModuleType
from typing import Any

_HEADER_SIZE_BYTES = 8
_ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
_FOLDER_BY_BASE = {"root": _ROOT, "python": os.path.realpath(sys.base_prefix)}


class CodeArchive:
    """Import modules from an archive; it finds and loads them for ``sys.meta_path``."""

    def __init__(self, data: bytes) -> None:
        """Raise ``ValueError`` where the archive is cut short, or of another interpreter."""
        codes_at = _HEADER_SIZE_BYTES + int.from_bytes(data[:_HEADER_SIZE_BYTES], "little")
        try:
            magic, entries, size = marshal.loads(data[_HEADER_SIZE_BYTES:codes_at])
        except (EOFError, TypeError) as error:
            raise ValueError(f"no archive of modules: {error}") from error
        if magic != importlib.util.MAGIC_NUMBER:
            raise ValueError("the archive is of another interpreter")
        self._codes = memoryview(data)[codes_at:]
        if len(self._codes) != size:
            raise ValueError("the archive is cut short")
        self._entry_by_name: dict[str, tuple[str, str, bool, int, int]] = entries

    def find_spec(
        self, name: str, path: object = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Return the spec of an archived module, or ``None``."""
        entry = self._entry_by_name.get(name)
        if entry is None:
            return None
        base, path_in_base, is_package, _, _ = entry
        location = os.path.join(_FOLDER_BY_BASE[base], path_in_base)
        loader: Any = self
        spec = ModuleSpec(name, loader, origin=location, is_package=is_package)
        spec.has_location = True
        if is_package:
            # Extension modules are not archived, and are found there.
            spec.submodule_search_locations = [os.path.dirname(location)]
        return spec

    def create_module(self, spec: ModuleSpec) -> ModuleType | None:
        """Return ``None``, for an ordinary module."""
        return None

    def exec_module(self, module: ModuleType) -> None:
        """Run the module's code."""
        _, _, _, start, size = self._entry_by_name[module.__name__]
        exec(marshal.loads(self._codes[start : start + size]), module.__dict__)

    def close(self) -> None:
        """Release the code: the loaded modules refer to this object for as long as they live."""
        self._codes = memoryview(b"")
        self._entry_by_name = {}


def write_archive(path: str) -> None:
    """Write the code of all modules that are loaded from source files now."""
    entries: dict[str, tuple[str, str, bool, int, int]] = {}
    codes = []
    offset = 0
    for name, module in sorted(sys.modules.items()):
        found = _code_of(name, module)
        if found is None:
            continue
        base, path_in_base, code = found
        data = marshal.dumps(code)
        is_package = hasattr(module, "__path__")
        entries[name] = (base, path_in_base, is_package, offset, len(data))
        codes.append(data)
        offset += len(data)
    header = marshal.dumps((importlib.util.MAGIC_NUMBER, entries, offset))
    with open(path, "wb") as file:
        file.write(len(header).to_bytes(_HEADER_SIZE_BYTES, "little"))
        file.writelines((header, *codes))


def _code_of(name: str, module: ModuleType) -> tuple[str, str, CodeType] | None:
    """Return the folder and path of a module's source and its code, if it can be archived."""
    spec = getattr(module, "__spec__", None)
    if spec is None or spec.name != name or not spec.has_location:
        return None
    if not hasattr(spec.loader, "get_code") or not str(spec.origin).endswith(".py"):
        return None
    code = spec.loader.get_code(name)
    location = os.path.realpath(spec.origin)
    for base, folder in _FOLDER_BY_BASE.items():
        if code is not None and location.startswith(folder + os.sep):
            return base, os.path.relpath(location, folder), code
    return None
