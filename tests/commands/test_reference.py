"""Check that the reference page of commands is what the commands say."""

from cranberrywall.commands.ctl._exits import Exit
from tests.commands.reference import PAGE, make_page


def test_the_page_is_the_commands_own_help():
    remedy = "run: python -m tests.commands.reference"
    assert PAGE.read_text(encoding="utf-8") == make_page(), remedy


def test_the_page_names_every_exit_code():
    text = PAGE.read_text(encoding="utf-8")
    assert all(f"\n| {code.value} |" in text for code in Exit)
