"""The interface between the core and a deployment's adapters."""

from typing import Any, NamedTuple

from dragonflywing.decisions.eras import Revision
from dragonflywing.decisions.positions import Position


class StoredItem(NamedTuple):
    """A key in the store; `value` is None if the key was deleted."""

    key: str
    value: bytes | None
    revision: Revision


class Answer(NamedTuple):
    """A database's answer to one statement.

    `code` is one of `outcomes`; `text` is the signature of the result or the
    text of the error; `in_transaction` says whether a transaction is open after
    the statement.
    """

    code: str
    text: str
    rows: tuple
    in_transaction: bool
    position: Position | None


class DatabaseStatus(NamedTuple):
    """The status that a database reports.

    `received` is the end of its log, `busy` the number of running statements;
    `promised_term` is the term that it is paused for, or 0. The connection on which it
    was reported had been open for `connected_s`.
    """

    is_primary: bool
    term: int
    received: Position
    promised_term: int
    lag_s: float
    busy: int
    connections: int
    connected_s: float = 0.0


class ConnectionFailed(Exception):
    """The connection is broken or sent an invalid answer; it must be closed."""


class ConnectionRefused(Exception):
    """The database refused the connection; `code` is one of `outcomes`."""

    def __init__(self, code):
        super().__init__(code)
        self.code = code


class Ports(NamedTuple):
    """The adapters of one deployment.

    `databases` opens connections and builds control statements; `store` holds
    the fleet's shared keys and leases; `promote` orders a promotion; the
    `decode` functions read the configuration and the databases' entries.
    """

    databases: Any
    store: Any
    promote: Any
    decode_configuration: Any
    decode_database: Any
    configuration_key: str
    database_prefix: str
    evacuation_prefix: str = ""
