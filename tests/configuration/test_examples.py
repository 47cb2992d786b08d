"""Check the two users' example deployments against the checks and the brief's sizes."""

import hashlib
import re
from pathlib import Path
from typing import Any

import msgspec
import pytest
import yaml

from cranberrywall.configuration import load_document, make_fixed_configuration
from cranberrywall.settings import Settings

EXAMPLES = Path(__file__).parents[2] / "examples"
DEPLOYMENTS = ["savings-board", "parking-lessors"]


def load_settings(deployment: str) -> dict[str, Settings]:
    paths = (EXAMPLES / deployment).glob("*-[0-9].yaml")
    return {
        path.stem: msgspec.convert(yaml.safe_load(path.read_text()), Settings) for path in paths
    }


def load_configuration(deployment: str) -> Any:
    return load_document((EXAMPLES / deployment / "configuration.yaml").read_text()).unwrap()


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_the_document_is_valid_and_of_todays_size(deployment: str) -> None:
    document = load_configuration(deployment)
    entries = [host for host in document["hosts"].values() if "entry" in host["roles"]]
    assert (len(document["workspaces"]), len(entries)) == (10, 7)
    assert len(document["places"]) == (3 if deployment == "savings-board" else 4)


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_the_settings_agree_with_the_document(deployment: str) -> None:
    document = load_configuration(deployment)
    settings_by_host = load_settings(deployment)
    assert settings_by_host.keys() == document["hosts"].keys()
    for name, settings in settings_by_host.items():
        host = document["hosts"][name]
        assert settings["host"] == name
        assert (settings["place"], [settings["process"]]) == (host["place"], host["roles"])
        assert settings["listen"].get("links") == host["links"]
        assert settings["listen"].get("http") == host.get("http")
        assert ("data" in settings) == host["disk"]


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_the_documented_keys_open_their_workspaces(deployment: str) -> None:
    configuration = make_fixed_configuration(load_configuration(deployment))
    rows = re.findall(
        rf"\| {deployment} \| (\S+) \| `(\S+)` \|", (EXAMPLES / "README.md").read_text()
    )
    assert len(rows) == 10
    for workspace, key in rows:
        found = configuration.workspace_by_key(key)
        assert found is not None
        assert found.name == workspace
        assert hashlib.sha256(key.encode()).hexdigest() in str(found.workspace["keys"])
    assert configuration.workspace_by_key("demo-nobody") is None
