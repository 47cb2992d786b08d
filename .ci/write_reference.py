"""Write the reference pages that are generated from the code; run it from the root."""

from pathlib import Path

from cranberrywall.errors import render_reference

Path("docs/reference/error-kinds.md").write_text(render_reference(), encoding="utf-8")
