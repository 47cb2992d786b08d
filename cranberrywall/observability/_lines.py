"""Read lines that ``format_pairs`` wrote."""

import re

_PAIR = re.compile(r'([a-z][a-z0-9_]*)=(?:"((?:[^"\\]|\\.)*)"|([^ "]*))(?: |$)')
_ESCAPED = re.compile(r"\\(x[0-9a-f]{2}|u[0-9a-f]{4}|U[0-9a-f]{8}|.)")
_SHORT_ESCAPES = {"n": "\n", "r": "\r", "t": "\t"}
_FIRST_KEY = "time="


def parse_pairs(line: str) -> dict[str, str] | None:
    """Return the pairs of a log line, or ``None`` where it is none.

    What a collector wrote before the line's own time is left out.

    >>> parse_pairs('host-1 time=1 event=note reason="two \\\\"words\\\\""')
    {'time': '1', 'event': 'note', 'reason': 'two "words"'}
    >>> parse_pairs("Traceback (most recent call last):") is None
    True
    """
    start = line.find(_FIRST_KEY)
    if start < 0 or (start > 0 and not line[start - 1].isspace()):
        return None
    text = line[start:].rstrip("\n")
    pairs: dict[str, str] = {}
    position = 0
    while position < len(text):
        found = _PAIR.match(text, position)
        if found is None:
            return None
        name, quoted, plain = found.groups()
        pairs[name] = _unescape(quoted) if quoted is not None else plain
        position = found.end()
    return pairs if "event" in pairs else None


def _unescape(text: str) -> str:
    return _ESCAPED.sub(_unescape_one, text)


def _unescape_one(found: re.Match[str]) -> str:
    code = found.group(1)
    if len(code) > 1:
        return chr(int(code[1:], 16))
    return _SHORT_ESCAPES.get(code, code)
