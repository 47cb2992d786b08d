#!/bin/sh
# The stand-ins are Python and need the standard library only: compile them, to see that they load.
cd "$(dirname "$0")/.." || exit 2
python3 - <<'END'
import sys
from pathlib import Path

for path in sorted(Path("review").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
END
