"""Classification of SQL statements by their parse tree.

Statements that differ only in literals have the same shape and share one cached
decision, so that clients which write values into the text cause one parse per
shape.
"""

import enum
import re
from collections import OrderedDict
from typing import NamedTuple

import sqlglot
from sqlglot import exp
from sqlglot.errors import SqlglotError
from sqlglot.tokens import TokenType

from dragonflywing import errors
from dragonflywing.errors import DfwError

CACHE_SIZE = 4096
# Of all shapes that are cached, and of one: statements without literals are their own
# shape, so that 4,096 of 4 MB each would be kept.
CACHE_BYTES = 16 << 20
MAX_SHAPE_BYTES = 512 << 10
TOKEN_BYTES = 64  # of a token of a shape beside its characters
RESERVED_PREFIX = "dfw_"
LITERALS = {TokenType.NUMBER, TokenType.STRING, TokenType.HEX_STRING}
DENIED_FUNCTIONS = {
    "benchmark",
    "get_lock",
    "is_free_lock",
    "is_used_lock",
    "load_file",
    "master_pos_wait",
    "release_all_locks",
    "release_lock",
    "sleep",
    "source_pos_wait",
    "wait_for_executed_gtid_set",
}
READS = (exp.Select, exp.SetOperation, exp.Subquery, exp.Describe, exp.Values)
WRITES = (exp.Insert, exp.Update, exp.Delete, exp.TruncateTable)
TABLE_CHANGES = (exp.Create, exp.Drop, exp.Alter)
TABLE_KINDS = {"TABLE", "INDEX"}
IGNORED_SETTINGS = {
    "character_set_client",
    "character_set_connection",
    "character_set_results",
    "collation_connection",
    "names",
    "net_write_timeout",
    "wait_timeout",
    "interactive_timeout",
}
SET_STATEMENT = re.compile(r"\s*set\s+(.*?);?\s*$", re.I | re.S)
SET_ITEM = re.compile(
    r"(?:session\s+|@@(?:session\.)?)?(@?[a-z_]+)\s*(?::?=|\s)\s*"
    r"('[^'\\]*'|\"[^\"\\]*\"|[a-z0-9_.@:-]+)",
    re.I,
)
VARIABLE_QUERY = re.compile(
    r"\s*select\s+@@(?:session\.|global\.)?([a-z_]+)\s*(?:as\s+\w+\s*)?"
    r"(?:limit\s+1\s*)?;?\s*$",
    re.I,
)
SHOW_VARIABLES = re.compile(
    r"\s*show\s+(?:session\s+|global\s+)?variables\s+like\s+'([a-z_]+)'\s*;?\s*$", re.I
)
DATABASE_QUERY = re.compile(
    r"\s*select\s+(database|schema|version|connection_id)\s*\(\s*\)\s*;?\s*$", re.I
)
ISOLATION = re.compile(r"(session\s+)?transaction\s+isolation\s+level\s+[a-z ]+$", re.I)


class Kind(enum.Enum):
    """How a statement is handled."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SET = "set"
    SHOW = "show"
    USE = "use"


class Statement(NamedTuple):
    """A statement that may be served.

    `values` holds the (name, value) pairs of a SET statement. For Kind.SHOW it
    holds the form of the result, "row" or "value", and the name of what is shown.
    """

    kind: Kind
    values: tuple = ()


def _refuse(message):
    return DfwError(errors.STATEMENT_REFUSED, message)


class StatementCache:
    """A least-recently-used cache of decisions by workspace and shape."""

    def __init__(self):
        self.decisions = OrderedDict()
        self.bytes = 0


def shape_bytes(shape):
    """Return about how many bytes a shape takes."""
    texts = sum(len(token) for token in shape if isinstance(token, str))
    return texts + TOKEN_BYTES * len(shape)


def _store(cache, key, decision):
    size = shape_bytes(key[1])
    if size > MAX_SHAPE_BYTES:
        return
    cache.decisions[key] = decision
    cache.bytes += size
    while len(cache.decisions) > CACHE_SIZE or cache.bytes > CACHE_BYTES:
        (_, shape), _ = cache.decisions.popitem(last=False)
        cache.bytes -= shape_bytes(shape)


def decide(cache, sql, workspace):
    """Return the Statement for `sql`; raise DfwError if it is refused."""
    statement = _decide_by_pattern(sql)
    if statement is not None:
        return statement
    key = (workspace, _shape(sql))
    decision = cache.decisions.get(key)
    if decision is None:
        decision = _decide_parsed(sql, workspace)
        _store(cache, key, decision)
    else:
        cache.decisions.move_to_end(key)
    if isinstance(decision, DfwError):
        raise DfwError(decision.code, decision.message)
    return decision


def _decide_by_pattern(sql):
    prefix = sql.lstrip()[:8].lower()
    if prefix.startswith("set"):
        match = SET_STATEMENT.match(sql)
        return _decide_set(match.group(1)) if match else None
    if prefix.startswith(("select", "show")):
        for pattern in (VARIABLE_QUERY, DATABASE_QUERY, SHOW_VARIABLES):
            match = pattern.match(sql)
            if match:
                form = "row" if pattern is SHOW_VARIABLES else "value"
                return Statement(Kind.SHOW, (form, match.group(1).lower()))
    return None


def _decide_set(body):
    if ISOLATION.match(body):
        return Statement(Kind.SET, ())
    settings = []
    end = 0
    while end < len(body):
        match = SET_ITEM.match(body, end)
        if not match:
            raise _refuse("SET of this form would change shared session state")
        name = match.group(1).lower()
        value = match.group(2)
        if value[0] in "'\"":
            value = value[1:-1]
        _check_setting(name)
        settings.append((name, value))
        separator = re.compile(r"\s*(collate\s+[a-z0-9_']+\s*)?(,\s*|$)", re.I).match(
            body, match.end()
        )
        if not separator:
            raise _refuse("SET of this form would change shared session state")
        end = separator.end()
    return Statement(Kind.SET, tuple(settings))


def _check_setting(name):
    allowed = name == "autocommit" or name in IGNORED_SETTINGS
    if not allowed and not name.startswith("@" + RESERVED_PREFIX):
        raise _refuse(f"SET {name} would change shared session state")


def _shape(sql):
    try:
        tokens = sqlglot.tokenize(sql, read="mysql")
    except SqlglotError as exc:
        raise DfwError(errors.SYNTAX, f"syntax error: {exc}") from None
    if "/*" in sql:
        _check_comments(tokens, sql)
    return tuple(
        [
            token.token_type if token.token_type in LITERALS else token.text
            for token in tokens
        ]
    )


def _check_comments(tokens, sql):
    """Raise DfwError if a comment contains code that a database would execute."""
    comments = [comment for token in tokens for comment in token.comments]
    if not tokens or any(text.lstrip()[:1] in "!M+" for text in comments):
        raise _refuse("comments that a database executes are refused")
    literals = "".join(t.text for t in tokens if t.token_type is TokenType.STRING)
    if "/*!" in sql and "/*!" not in literals:
        raise _refuse("comments that a database executes are refused")


def _decide_parsed(sql, workspace):
    if sql.lstrip()[:8].lower() == "replace ":
        # The parser does not support REPLACE, which has the syntax of INSERT.
        sql = "INSERT" + sql.lstrip()[7:]
    try:
        trees = sqlglot.parse(sql, read="mysql")
    except (SqlglotError, RecursionError) as exc:
        line = str(exc).split("\n")[0]
        return DfwError(errors.SYNTAX, f"syntax error: {line}")
    trees = [tree for tree in trees if tree is not None]
    if len(trees) != 1:
        return DfwError(errors.STATEMENT_REFUSED, "expected exactly one statement")
    try:
        return _decide_tree(trees[0], workspace)
    except DfwError as exc:
        return exc


def _decide_tree(tree, workspace):
    if isinstance(tree, exp.Transaction):
        return Statement(Kind.BEGIN)
    if isinstance(tree, exp.Commit):
        return Statement(Kind.COMMIT)
    if isinstance(tree, exp.Rollback):
        if tree.args.get("savepoint"):
            raise _refuse("savepoints are not supported")
        return Statement(Kind.ROLLBACK)
    if isinstance(tree, exp.Use):
        return _decide_use(tree, workspace)
    _check_names(tree, workspace)
    if isinstance(tree, WRITES):
        return Statement(Kind.WRITE)
    if isinstance(tree, TABLE_CHANGES):
        if tree.args.get("kind", "").upper() not in TABLE_KINDS:
            raise _refuse("only tables and indexes can be created or changed")
        return Statement(Kind.WRITE)
    if isinstance(tree, READS):
        is_locking = any(node.args.get("locks") for node in tree.find_all(exp.Query))
        has_into = any(node.args.get("into") for node in tree.find_all(exp.Select))
        if has_into:
            raise _refuse("SELECT INTO is refused")
        return Statement(Kind.WRITE if is_locking else Kind.READ)
    raise _refuse(f"{type(tree).__name__.upper()} statements are refused")


def _decide_use(tree, workspace):
    if tree.this.name != workspace:
        raise DfwError(
            errors.OTHER_WORKSPACE, f"no access to schema {tree.this.name!r}"
        )
    return Statement(Kind.USE)


def _check_names(tree, workspace):
    for table in tree.find_all(exp.Table):
        schema = table.args.get("db")
        if table.args.get("catalog") or (schema and schema.name != workspace):
            raise DfwError(
                errors.OTHER_WORKSPACE,
                f"no access to schema {schema.name if schema else ''!r}",
            )
        if table.name.lower().startswith(RESERVED_PREFIX):
            raise _refuse(f"table names starting with {RESERVED_PREFIX} are reserved")
    for column in tree.find_all(exp.Column):
        schema = column.args.get("db")
        if schema and schema.name != workspace:
            raise DfwError(
                errors.OTHER_WORKSPACE, f"no access to schema {schema.name!r}"
            )
    for node in tree.find_all(exp.Parameter, exp.SessionParameter, exp.Command):
        raise _refuse(f"{type(node).__name__} would use shared session state")
    for node in tree.find_all(exp.Func):
        name = node.name if isinstance(node, exp.Anonymous) else node.sql_name()
        if _is_denied(name.lower()):
            raise _refuse(f"function {name} is refused")


def _is_denied(name):
    return name in DENIED_FUNCTIONS or name.startswith(RESERVED_PREFIX)
