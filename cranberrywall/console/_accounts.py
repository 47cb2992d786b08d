"""Keep operators' accounts, their passwords hashed, in the console's data folder."""

import hashlib
import hmac
import json
import secrets
from enum import StrEnum
from typing import NamedTuple

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.runtime import Storage

FILE = "accounts.json"
SHORTEST_PASSWORD = 12
SALT_BYTES = 16

# The cost of one scrypt run: 16 MiB and some tens of milliseconds.
SCRYPT_N = 2**14
SCRYPT_R = 8
SCRYPT_P = 1


class Role(StrEnum):
    """Name what an account may do; each role may do what those before it may.

    A reader sees every page. An operator changes the configuration and tops up. An
    approver also confirms what another person asked for.
    """

    READER = "reader"
    OPERATOR = "operator"
    APPROVER = "approver"

    def includes(self, other: "Role") -> bool:
        """Say whether this role may do what ``other`` may."""
        order = list(Role)
        return order.index(self) >= order.index(other)


class Account(NamedTuple):
    """Hold one account; ``password`` is the scrypt hash, ``salt`` its salt, both hex."""

    name: str
    role: Role
    salt: str
    password: str


class Accounts:
    """Find accounts by name and check passwords.

    The file is read for each call, so that an account that was added or taken away by the
    command line counts at once.
    """

    def __init__(self, storage: Storage) -> None:
        self._storage = storage

    def by_name(self) -> dict[str, Account]:
        """Return every account; call it off the event loop."""
        data = self._storage.read(FILE)
        if data is None:
            return {}
        rows = json.loads(data)
        return {row["name"]: Account(**{**row, "role": Role(row["role"])}) for row in rows}

    def put(self, name: str, role: Role, password: str) -> Result[Account, Refusal]:
        """Add an account, or give it a new role and password."""
        if len(password) < SHORTEST_PASSWORD:
            return Err(
                Refusal(
                    ErrorKind.BAD_REQUEST,
                    "the password is too short",
                    "password",
                    f"give at least {SHORTEST_PASSWORD} characters",
                )
            )
        salt = secrets.token_bytes(SALT_BYTES)
        account = Account(name, role, salt.hex(), _hash(password, salt).hex())
        self._write({**self.by_name(), name: account})
        return Ok(account)

    def remove(self, name: str) -> None:
        """Take an account away; a missing one is no error."""
        self._write({key: value for key, value in self.by_name().items() if key != name})

    def check(self, name: str, password: str) -> Account | None:
        """Return the account where the password is right; call it off the event loop."""
        account = self.by_name().get(name)
        # The hash is worked out for an unknown name as well: otherwise the time of the
        # answer would tell which names exist.
        salt = bytes.fromhex(account.salt) if account else bytes(SALT_BYTES)
        hashed = _hash(password, salt)
        if account is None or not hmac.compare_digest(hashed.hex(), account.password):
            return None
        return account

    def _write(self, account_by_name: dict[str, Account]) -> None:
        rows = [account._asdict() for account in account_by_name.values()]
        self._storage.replace(FILE, json.dumps(rows, indent=1).encode())


def make_accounts(storage: Storage) -> Accounts:
    """Return the accounts kept in ``storage``."""
    return Accounts(storage)


def _hash(password: str, salt: bytes) -> bytes:
    return hashlib.scrypt(password.encode(), salt=salt, n=SCRYPT_N, r=SCRYPT_R, p=SCRYPT_P)
