"""Drive the console as a browser without scripts does."""

import re
from html import unescape
from typing import Any

import aiohttp

_INPUT = re.compile(r"<input[^>]*>")
_ATTRIBUTE = re.compile(r'(\w+)="([^"]*)"')


class Browser:
    """Keep cookies, load pages and send the forms that stand in them."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url
        self.status = 0
        self.text = ""

    async def get(self, path: str) -> str:
        """Load a page."""
        return await self._load(self._session.get(self._url + path))

    async def post(self, path: str, fields: list[tuple[str, str]]) -> str:
        """Send a form of one's own making."""
        return await self._load(self._session.post(self._url + path, data=fields))

    async def log_in(self, name: str, password: str) -> str:
        """Log in by the page's form."""
        await self.get("/login")
        fields = [("csrf", self.csrf()), ("name", name), ("password", password)]
        return await self.post("/login", fields)

    def csrf(self) -> str:
        """Return the token of the page's forms."""
        tags = [dict(_ATTRIBUTE.findall(tag)) for tag in _INPUT.findall(self.text)]
        return next(str(tag["value"]) for tag in tags if tag.get("name") == "csrf")

    def hidden(self, form: int = 0) -> list[tuple[str, str]]:
        """Return the hidden fields of one of the page's forms, after the log-out form."""
        forms = [part for part in self.text.split("<form")[1:] if "/logout" not in part]
        inputs = [dict(_ATTRIBUTE.findall(tag)) for tag in _INPUT.findall(forms[form])]
        return [
            (field["name"], unescape(field.get("value", "")))
            for field in inputs
            if field.get("type") == "hidden"
        ]

    async def _load(self, call: Any) -> str:
        async with call as response:
            self.status = response.status
            self.text = await response.text()
        return self.text
