"""Check that the picture of the packages is what the import rules enforce."""

import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]
PAGE = (ROOT / "docs" / "PACKAGES.md").read_text(encoding="utf-8")
OUTER_PACKAGES_WITH_STANDINS = {"commands", "demo"}


def layers() -> list[list[str]]:
    settings = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))
    contracts = settings["tool"]["importlinter"]["contracts"]
    rules = next(contract for contract in contracts if contract["type"] == "layers")
    return [line.split(" | ") for line in rules["layers"]]


def drawn() -> list[list[str]]:
    picture = PAGE.split("```text\n")[1].split("```")[0]
    return [
        re.findall(r"cranberrywall\.\w+", line)
        for line in picture.splitlines()
        if line.startswith("cranberrywall.")
    ]


def test_the_picture_has_the_layers_in_their_order():
    assert drawn() == layers()


def test_every_package_is_in_the_picture():
    packages = {
        f"cranberrywall.{init.parent.name}"
        for init in (ROOT / "cranberrywall").glob("*/__init__.py")
    }
    assert {name for line in drawn() for name in line} == packages


def test_only_the_named_packages_import_the_stand_ins():
    modules = (ROOT / "cranberrywall").rglob("*.py")
    imports = re.compile(r"^\s*(?:from|import) standins\b", re.MULTILINE)
    importing = {
        module.relative_to(ROOT / "cranberrywall").parts[0]
        for module in modules
        if imports.search(module.read_text(encoding="utf-8"))
    }
    assert importing == OUTER_PACKAGES_WITH_STANDINS
    assert all(f"`cranberrywall.{name}`" in PAGE for name in importing)
