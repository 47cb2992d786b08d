"""Start a console over in-memory groups."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import aiohttp
import pytest
from result import Err

from cranberrywall.budgets.ledger import make_ledger_machine
from cranberrywall.configuration import ConfigurationClient, make_configuration_machine
from cranberrywall.console import ConsoleParts, Role, make_accounts, make_console_server
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.runtime import make_clock
from tests.configuration.documents import make_document, whole_document_edits
from tests.console.browser import Browser
from tests.fakes.groups import FakeControlClient, make_control_client
from tests.fakes.storage import FakeStorage

PASSWORD = "correct horse battery"
OpenBrowser = Callable[[str], Awaitable[Browser]]


class SilentCaller:
    """Stand for a fleet whose entry hosts do not answer."""

    async def call(self, address: str, method: Any, request: Any, timeout: float) -> Any:
        return Err(Refusal(ErrorKind.UNREACHABLE))


@pytest.fixture
def control() -> FakeControlClient:
    machines: Any = {
        "configuration": make_configuration_machine,
        "ledger-0": make_ledger_machine,
        "ledger-1": make_ledger_machine,
    }
    client: FakeControlClient = make_control_client(machines)
    return client


@pytest.fixture
def configuration(control: FakeControlClient) -> ConfigurationClient:
    return ConfigurationClient(control, timeout=1.0)


@pytest.fixture
def storage() -> FakeStorage:
    return FakeStorage()


@pytest.fixture
def caller() -> Any:
    return SilentCaller()


@pytest.fixture
async def browse(
    control: FakeControlClient,
    configuration: ConfigurationClient,
    caller: Any,
    storage: FakeStorage,
) -> AsyncIterator[OpenBrowser]:
    accounts = make_accounts(storage)
    for name, role in [("rhea", Role.READER), ("omar", Role.OPERATOR), ("ana", Role.APPROVER)]:
        accounts.put(name, role, PASSWORD)
    edits = whole_document_edits(make_document())
    await configuration.change(edits, 0, "first", "setup", 0.0)
    parts = ConsoleParts(control, caller, make_clock(), storage)
    program = make_console_server(parts, "127.0.0.1:0")
    await program.start()
    sessions = []

    async def open_browser(name: str) -> Browser:
        session = aiohttp.ClientSession(cookie_jar=aiohttp.CookieJar(unsafe=True))
        sessions.append(session)
        browser = Browser(session, f"http://{program.address}")
        if name:
            await browser.log_in(name, PASSWORD)
        return browser

    yield open_browser
    for session in sessions:
        await session.close()
    await program.close()
