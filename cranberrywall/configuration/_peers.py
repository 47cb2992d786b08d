"""List the entry hosts that the configuration document names."""

from collections.abc import Callable, Iterable, Sequence

from cranberrywall.configuration._document import Document
from cranberrywall.configuration._neighbours import Peers, Reachable, SpreadHost


def make_document_peers(
    document: Callable[[], Document], known: Iterable[SpreadHost] = ()
) -> Peers:
    """Return the entry hosts in ``document()``, and ``known`` ones from the settings.

    For control hosts, which are no members of the entry hosts' membership, and for entry
    hosts before they have joined it. Hosts that are down are listed too.
    """
    return _DocumentPeers(document, tuple(known))


class _DocumentPeers:
    def __init__(self, document: Callable[[], Document], known: tuple[SpreadHost, ...]) -> None:
        self._document = document
        self._known = known

    def alive(self) -> Sequence[Reachable]:
        host_by_name = {host.host: host for host in self._known}
        for name, host in self._document()["hosts"].items():
            if "entry" in host["roles"]:
                host_by_name[name] = SpreadHost(name, host["place"], host["links"])
        return list(host_by_name.values())
