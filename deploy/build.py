"""Install what the programs need at run time under ``target/deps``, compile it, and archive it.

The versions stand in ``pyproject.toml`` and nowhere else. Of the project's dependencies only
those are installed that the two programs of ``deploy/system.toml`` import.
"""

import hashlib
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
DEPS = ROOT / "target" / "deps"
NOTE = ROOT / "target" / "installed"

PROGRAMS = ("core", "front")

NEEDED = (
    "aiohttp",
    "cryptography",
    "hdrhistogram",
    "loguru",
    "msgpack",
    "msgspec",
    "numpy",
    "prometheus_client",
    "result",
    "uvloop",
    "xxhash",
)


def pinned() -> list[str]:
    """Return the needed dependencies with their versions."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))["project"]
    by_name = {entry.partition("==")[0]: entry for entry in project["dependencies"]}
    return [by_name[name] for name in NEEDED]


def main() -> None:
    """Install where the list has changed since the last time, and compile all bytecode."""
    wanted = pinned()
    digest = hashlib.sha256("\n".join([sys.version, *wanted]).encode()).hexdigest()
    if not NOTE.exists() or NOTE.read_text(encoding="utf-8") != digest:
        shutil.rmtree(DEPS, ignore_errors=True)
        install = [sys.executable, "-m", "pip", "install", "--quiet", "--target", str(DEPS)]
        subprocess.run([*install, "--disable-pip-version-check", *wanted], check=True)
        NOTE.write_text(digest, encoding="utf-8")
    compile_all = [sys.executable, "-m", "compileall", "-q", str(DEPS), "cranberrywall"]
    subprocess.run(compile_all, cwd=ROOT, check=False)
    for program in PROGRAMS:
        archive(program)


def archive(program: str) -> None:
    """Write the modules that a program imports to one file under ``target``.

    Another process does, as one program imports what the other does not.
    """
    code = (
        "from cranberrywall.platform._code_archive import write_archive\n"
        f"import cranberrywall.platform._{program}_program\n"
        f"write_archive({str(ROOT / 'target' / program) + '.code'!r})\n"
    )
    environment = {"PYTHONPATH": f"{ROOT}:{DEPS}"}
    subprocess.run([sys.executable, "-S", "-c", code], cwd=ROOT, env=environment, check=True)


if __name__ == "__main__":
    main()
