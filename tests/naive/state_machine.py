"""A state machine that is plainly right: every command it applied, in order."""

import json


class NaiveJournal:
    """Keep a list of words; a word that is there already is not added again."""

    def __init__(self) -> None:
        self.words: list[str] = []
        self.applied = 0

    def apply(self, command: bytes) -> bytes:
        word = command.decode()
        self.applied += 1
        if word not in self.words:
            self.words.append(word)
        return str(self.words.index(word)).encode()

    def query(self, query: bytes) -> bytes:
        return json.dumps(self.words).encode()

    def snapshot(self) -> bytes:
        return json.dumps(self.words).encode()

    def restore(self, snapshot: bytes) -> None:
        self.words = json.loads(snapshot)
