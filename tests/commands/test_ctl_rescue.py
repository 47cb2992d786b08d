"""Rescue the last control host from the command line."""

from pathlib import Path

from click.testing import CliRunner

from cranberrywall.commands.ctl import _main
from cranberrywall.replication._files import GroupFiles, Vote
from cranberrywall.replication._rosters import encode_roster
from cranberrywall.replication.messages import Entry, EntryKind, Member, Roster
from cranberrywall.runtime import make_storage

ADDRESS = "127.0.0.1:7000"


def test_rescue_names_the_hosts_that_it_would_leave_out_and_can_be_repeated(tmp_path: Path):
    """Two of three control hosts burnt; an operator first forgets to name one of them."""
    members = tuple(Member(host, ADDRESS, f"disk-{host}", True) for host in "abc")
    for group in ("configuration", "ledger-0"):
        files = GroupFiles(make_storage(str(tmp_path)), group)
        files.open("disk-a")
        files.append(1, [Entry(1, EntryKind.ROSTER, encode_roster(Roster("old", members)))])
        files.save_vote(Vote("disk-a", "old", 1, ""))
        files.close()

    def rescue(*options: str) -> tuple[int, str]:
        arguments = ["rescue", str(tmp_path), "a", ADDRESS, *options]
        result = CliRunner().invoke(_main.main, arguments)
        return result.exit_code, result.output

    code, output = rescue("--lost", "b")
    assert code == 1 and "configuration: the group's other members are b, c" in output
    for _ in range(2):
        code, output = rescue("--lost", "b", "--lost", "c")
        assert code == 0 and "configuration: kept up to entry" in output
        assert "ledger-0: kept up to entry" in output
    opened = GroupFiles(make_storage(str(tmp_path)), "ledger-0").open_existing().unwrap()
    assert [member.host for member in opened.log.roster.members] == ["a"]
    assert opened.log.roster.lineage != "old"
