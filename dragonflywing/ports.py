"""What the core asks of a deployment's adapters."""

from typing import Any, NamedTuple

from dragonflywing.decisions.positions import Position


class Answer(NamedTuple):
    """A database's answer to one statement.

    `code` is one of `outcomes`; `text` is the signature of the result or the
    error's text; `in_transaction` says whether a transaction is open after it.
    """

    code: str
    text: str
    rows: tuple
    in_transaction: bool
    position: Position | None


class DatabaseStatus(NamedTuple):
    """What a database says of itself; `promised_term` is 0 unless it is paused."""

    is_primary: bool
    term: int
    received: Position
    promised_term: int
    lag_s: float
    busy: int
    connections: int


class ConnectionFailed(Exception):
    """The connection broke or its answer can't be read; it must be closed."""


class ConnectionRefused(Exception):
    """The database refused the connection with a code of `outcomes`."""

    def __init__(self, code):
        super().__init__(code)
        self.code = code


class Ports(NamedTuple):
    """The adapters of one deployment.

    `databases` opens connections and words the statements of the system's own;
    `store` keeps what must last; `promote` orders a promotion; the `decode`
    functions read the operators' and the databases' documents.
    """

    databases: Any
    store: Any
    promote: Any
    decode_configuration: Any
    decode_database: Any
    configuration_key: str
    database_prefix: str
