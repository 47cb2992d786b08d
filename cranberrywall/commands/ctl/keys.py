"""Make a small site's keys: an authority, a certificate a host, the fleet's secrets."""

from datetime import UTC, datetime
from pathlib import Path

import click

from cranberrywall.commands.ctl._documents import read_document_file
from cranberrywall.commands.ctl._output import print_answer
from cranberrywall.commands.ctl._session import OPERATOR_HOST, Ctl, pass_ctl
from cranberrywall.configuration import Host
from cranberrywall.runtime import make_clock
from cranberrywall.settings import make_keys_file
from cranberrywall.tls.authority import (
    FleetCertificates,
    HostNames,
    NamesTakenError,
    make_fleet_certificates,
)

SECRETS_FILE = "fleet.key"


@click.command("keys")
@click.argument("folder", type=click.Path(file_okay=False))
@click.option(
    "--document",
    type=click.Path(exists=True, dir_okay=False),
    help="A configuration document; each of its hosts gets a certificate.",
)
@click.option(
    "--host",
    "given",
    multiple=True,
    metavar="HOST[=IP,...]",
    help="A host more, with the IP numbers that callers reach it by.",
)
@click.option(
    "--renew",
    is_flag=True,
    help="Make new certificates by the authority that is there, beside the old files.",
)
@click.option(
    "--trust",
    type=click.Path(exists=True, dir_okay=False),
    help="A file of older authorities that a new authorities.crt names too.",
)
@pass_ctl
def command(
    ctl: Ctl,
    folder: str,
    document: str | None,
    given: tuple[str, ...],
    renew: bool,
    trust: str | None,
) -> None:
    """Make certificates and keys in FOLDER, and the fleet's secrets.

    FOLDER gets an authority, `authorities.crt` for all hosts to trust, and NAME.crt and
    NAME.key for each host and for operators (cranberrywallctl). What is there already is
    kept, so that a second run adds the hosts that are new under the same authority.
    Nothing is ever replaced. Needs no control host.
    """
    hosts = _named_hosts(ctl, document, given)
    now = make_clock().wall()
    certificates = make_fleet_certificates(folder, now)
    try:
        if renew:
            written = _renew(certificates, hosts, now)
        else:
            written = _make(certificates, folder, hosts, Path(trust).read_bytes() if trust else b"")
    except NamesTakenError as error:
        remedy = "move them away: nothing is ever replaced"
        ctl.fail_input(str(error), "FOLDER", remedy)
    except (OSError, ValueError) as error:
        remedy = "correct what is named; --renew needs the folder that `keys` made"
        ctl.fail_input(f"no keys were made: {error}", "", remedy)
    names = [str(path) for path in written]
    advice = "copy to each host its own files, fleet.key and authorities.crt; keep authority.key"
    text = "\n".join([*names, advice])
    print_answer(ctl.options.is_json, {"folder": folder, "files": names}, text)


def _make(
    certificates: FleetCertificates, folder: str, hosts: list[HostNames], trusted: bytes
) -> list[Path]:
    written = certificates.make(hosts, trusted)
    secrets = Path(folder) / SECRETS_FILE
    # A fleet that has an older authority has its secrets already; new ones would part it.
    if not trusted and not secrets.exists():
        make_keys_file(str(secrets))
        written.append(secrets)
    return written


def _renew(certificates: FleetCertificates, hosts: list[HostNames], now: float) -> list[Path]:
    return certificates.renew(hosts, datetime.fromtimestamp(now, UTC).strftime("%Y%m%d"))


def _addresses_of(host: Host) -> list[str]:
    return [host["links"], host["http"]] if "http" in host else [host["links"]]


def _named_hosts(ctl: Ctl, document: str | None, given: tuple[str, ...]) -> list[HostNames]:
    by_name: dict[str, HostNames] = {}
    if document is not None:
        for name, host in read_document_file(ctl, document).document["hosts"].items():
            addresses = {address.rpartition(":")[0] for address in _addresses_of(host)}
            by_name[name] = HostNames(name, tuple(sorted(addresses)))
    for one in given:
        name, _, addresses_text = one.partition("=")
        by_name[name] = HostNames(name, tuple(filter(None, addresses_text.split(","))))
    if not by_name:
        ctl.fail_input("no host is named", "--host", "give --document FILE or --host HOST")
    if document is not None:
        by_name.setdefault(OPERATOR_HOST, HostNames(OPERATOR_HOST))
    return list(by_name.values())
