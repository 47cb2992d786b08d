"""Check that the platform's names stay in its folder."""

import re
from pathlib import Path

PACKAGE = Path(__file__).parents[2] / "cranberrywall"
NAMES = (
    r"X-(Deadline-Ms|Expect-Instance|Tenant|Token-Counts|Prompt-Prefix|Server-Load|Not-Run)",
    r"X-(Request-Priority|Expect-Version|Server-Stamp)\b",
    r"\b(api_keys|path_prefix|port_range|first_start|kv_capacity|call_seq|goal_ms)\b",
    r"\b(retry_slack|grace_s|max_conns|boot\.toml)\b",
    r"/v1/(config|instances|report|resolve)\b",
)


def test_no_module_outside_the_folder_names_what_only_the_platform_calls_so() -> None:
    """A change of the platform's protocol must be made in one folder.

    Cause of a miss: a name of the wire slips into a decision, which then must change with it.
    """
    pattern = re.compile("|".join(NAMES))
    found = [
        f"{path.relative_to(PACKAGE)}: {match.group()}"
        for path in sorted(PACKAGE.rglob("*.py"))
        if "platform" not in path.relative_to(PACKAGE).parts
        for match in pattern.finditer(path.read_text(encoding="utf-8"))
    ]
    assert found == []
