"""Make a small site's keys from the command line, and add to them."""

import json
import stat
import time
from ipaddress import IPv4Address
from pathlib import Path

import pytest
from click.testing import CliRunner
from cryptography import x509

from cranberrywall.commands.ctl import main
from cranberrywall.commands.ctl._exits import Exit
from cranberrywall.settings import check_tls, load_fleet_keys
from tests.commands.fleets import EXAMPLE
from tests.tls.site import tls_section


def run(*words: str):
    return CliRunner().invoke(main, ["--json", "keys", *words])


def files_of(result) -> list[str]:
    assert result.exit_code == Exit.DONE, result.output
    return [Path(name).name for name in json.loads(result.stdout)["files"]]


def state_of(folder: Path) -> dict[str, bytes]:
    return {file.name: file.read_bytes() for file in folder.iterdir()}


def test_each_host_of_a_document_gets_files_that_pass_its_checks(tmp_path: Path):
    folder = tmp_path / "keys"
    files = files_of(run(str(folder), "--document", EXAMPLE))
    assert {"authority.key", "authorities.crt", "fleet.key", "entry-7.key"} <= set(files)
    for host in ("control-1", "entry-7", "console-1", "cranberrywallctl"):
        assert not list(check_tls(tls_section(folder, host), host, time.time()))
    load_fleet_keys(str(folder / "fleet.key")).unwrap()
    modes = {stat.S_IMODE(file.stat().st_mode) for file in folder.iterdir()}
    assert (modes, stat.S_IMODE(folder.stat().st_mode)) == ({0o600}, 0o700)
    leaf = x509.load_pem_x509_certificates((folder / "entry-1.crt").read_bytes())[0]
    names = leaf.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    assert IPv4Address("127.0.0.21") in names.get_values_for_type(x509.IPAddress)


def test_a_second_run_adds_hosts_and_replaces_nothing(tmp_path: Path):
    files_of(run(str(tmp_path), "--host", "entry-1"))
    before = state_of(tmp_path)
    added = files_of(run(str(tmp_path), "--host", "entry-1", "--host", "entry-2=127.0.0.2"))
    assert sorted(added) == ["entry-2.crt", "entry-2.key"]
    after = state_of(tmp_path)
    assert {name: after[name] for name in before} == before
    assert not list(check_tls(tls_section(tmp_path, "entry-2"), "entry-2", time.time()))


def test_a_renewal_lies_beside_the_old_files(tmp_path: Path):
    files_of(run(str(tmp_path), "--host", "entry-1"))
    before = state_of(tmp_path)
    renewed = files_of(run(str(tmp_path), "--host", "entry-1", "--renew"))
    certificate = Path(next(name for name in renewed if name.endswith(".crt"))).stem
    assert certificate.startswith("entry-1-")
    assert not list(check_tls(tls_section(tmp_path, certificate), "entry-1", time.time()))
    after = state_of(tmp_path)
    assert {name: after[name] for name in before} == before
    again = run(str(tmp_path), "--host", "entry-1", "--renew")
    assert (again.exit_code, state_of(tmp_path)) == (Exit.WRONG_INPUT, after)


def test_a_new_authority_goes_with_trust_in_the_old_one(tmp_path: Path):
    old, new = tmp_path / "old", tmp_path / "new"
    files_of(run(str(old), "--host", "entry-1"))
    made = files_of(run(str(new), "--host", "entry-1", "--trust", str(old / "authorities.crt")))
    assert "fleet.key" not in made
    for site in (old, new):
        section = tls_section(site, "entry-1", new / "authorities.crt")
        assert not list(check_tls(section, "entry-1", time.time()))
    [problem] = check_tls(
        tls_section(new, "entry-1", old / "authorities.crt"), "entry-1", time.time()
    )
    assert problem.code == "S023"


@pytest.mark.parametrize(
    "words",
    [
        (),
        ("--host", "../entry"),
        ("--host", "authority"),
        ("--host", "entry-1=nowhere"),
        ("--host", "entry-2", "--renew"),
    ],
)
def test_wrong_input_is_refused_and_writes_nothing(tmp_path: Path, words: tuple[str, ...]):
    result = run(str(tmp_path / "site"), *words)
    assert result.exit_code == Exit.WRONG_INPUT
    assert json.loads(result.stdout)["error"]["remedy"]
    assert not (tmp_path / "site").exists()
