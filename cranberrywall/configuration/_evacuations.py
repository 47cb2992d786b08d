"""Read the orders about evacuations that a document holds."""

from cranberrywall.configuration._document import Document


def evacuated_places(document: Document) -> frozenset[str]:
    """Return the places whose targets get no requests.

    >>> order = {"is_active": True, "operator": "ana", "at": 0.0, "revision": 1}
    >>> orders = {"kranj": order, "domzale": {**order, "is_active": False}}
    >>> sorted(evacuated_places({"evacuations": orders}))
    ['kranj']
    """
    orders = document.get("evacuations", {})
    return frozenset(place for place, order in orders.items() if order["is_active"])
