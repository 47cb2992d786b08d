"""Check that each fault of certificates and keys is named, with its number, field and remedy."""

import os
import shutil
import time
from collections.abc import Callable
from pathlib import Path

import pytest
import yaml

from cranberrywall.settings import check_tls, load_settings, make_keys_file
from tests.settings.test_load import GOOD
from tests.tls.site import make_site, tls_section

_YEARS_S = 365 * 86_400.0
_HALF = "-----BEGIN CERTIFICATE-----\nMIIB"

Fault = Callable[[Path], object]


@pytest.fixture
def site(tmp_path: Path) -> Path:
    make_site(tmp_path / "old", "entry-1", at=time.time() - 2 * _YEARS_S)
    make_site(tmp_path / "coming", "entry-1", at=time.time() + _YEARS_S)
    make_site(tmp_path / "other", "entry-1")
    return make_site(tmp_path / "site", "entry-1", "entry-2")


def copy(name: str, to: str, folder: str = "site") -> Fault:
    return lambda site: shutil.copy(site.parent / folder / name, site / to)


def pair_of(folder: str, authorities: bool = True) -> Fault:
    names = ["entry-1.crt", "entry-1.key"] + ["authorities.crt"] * authorities
    return lambda site: [copy(name, name, folder)(site) for name in names]


FAULTS: list[tuple[Fault, list[tuple[str, str]]]] = [
    (lambda site: None, []),
    (lambda site: os.remove(site / "entry-1.crt"), [("S017", "tls.certificate")]),
    (lambda site: os.remove(site / "entry-1.key"), [("S017", "tls.key")]),
    (lambda site: os.remove(site / "authorities.crt"), [("S017", "tls.authorities")]),
    (lambda site: os.chmod(site / "entry-1.key", 0o640), [("S018", "tls.key")]),
    (lambda site: (site / "entry-1.crt").write_text(_HALF), [("S019", "tls.certificate")]),
    (lambda site: (site / "entry-1.crt").write_text(""), [("S019", "tls.certificate")]),
    (lambda site: (site / "entry-1.key").write_text("key"), [("S019", "tls.key")]),
    (lambda site: (site / "authorities.crt").write_bytes(b"\0"), [("S019", "tls.authorities")]),
    (copy("entry-2.key", "entry-1.key"), [("S020", "tls.key")]),
    (pair_of("old"), [("S021", "tls.certificate")]),
    (pair_of("coming"), [("S021", "tls.certificate")]),
    (
        lambda site: [copy(f"entry-2.{kind}", f"entry-1.{kind}")(site) for kind in ("crt", "key")],
        [("S022", "tls.certificate")],
    ),
    (pair_of("other", authorities=False), [("S023", "tls.certificate")]),
]


@pytest.mark.parametrize(("fault", "expected"), FAULTS)
def test_each_fault_is_named(site: Path, fault: Fault, expected: list[tuple[str, str]]):
    fault(site)
    problems = list(check_tls(tls_section(site, "entry-1"), "entry-1", time.time()))
    assert [(problem.code, problem.field) for problem in problems] == expected
    assert all(problem.remedy for problem in problems)


def test_the_pair_for_https_is_checked_without_the_host_or_the_authority(site: Path):
    section = tls_section(site, "entry-2")
    callers = {"callers": {"certificate": section["certificate"], "key": section["key"]}}
    assert not list(check_tls(callers, "entry-1", time.time()))
    os.chmod(section["key"], 0o644)
    [problem] = check_tls(callers, "entry-1", time.time())
    assert (problem.code, problem.field) == ("S018", "tls.callers.key")


def test_settings_name_the_files_from_their_own_folder(site: Path):
    (site / "data").mkdir()
    make_keys_file(str(site / "fleet.key"))
    pair = {"certificate": "entry-1.crt", "key": "entry-1.key"}
    document = {**GOOD, "tls": {**pair, "authorities": "authorities.crt", "callers": pair}}
    file = site / "entry.yaml"
    file.write_text(yaml.safe_dump(document))
    section = load_settings(str(file)).unwrap()["tls"]
    assert section["key"] == section["callers"]["key"] == str(site / "entry-1.key")
    assert section["reread"] == "30s"
    del document["tls"]["key"], document["tls"]["authorities"]
    file.write_text(yaml.safe_dump(document))
    problems = load_settings(str(file)).unwrap_err()
    assert [(problem.code, problem.field) for problem in problems] == [
        ("S014", "tls.key"),
        ("S014", "tls.authorities"),
    ]
