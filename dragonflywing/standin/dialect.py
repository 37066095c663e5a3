"""Translation of MySQL statements for sqlite3, for the stand-in database."""

import re
import sqlite3
from decimal import Decimal

from mysql_mimic.types import ColumnType

QUOTED = re.compile(
    r"(?P<binary>_binary\s*)?'(?P<single>(?:[^'\\]|\\.|'')*)'"
    r"|\"(?P<double>(?:[^\"\\]|\\.|\"\")*)\"|(?P<name>`[^`]*`)",
    re.S,
)
ESCAPES = {"0": "\0", "n": "\n", "r": "\r", "t": "\t", "Z": "\x1a", "b": "\b"}
AUTO_INCREMENT = re.compile(
    r"(`?\w+`?)\s+(?:BIGINT|INTEGER|INT)\b[^,()]*?AUTO_INCREMENT[^,)]*", re.I
)
TABLE_OPTIONS = re.compile(r"\)\s*(ENGINE|CHARSET|DEFAULT|COLLATE)[^)]*$", re.I)
VALUE_TYPES = {
    int: ColumnType.LONGLONG,
    float: ColumnType.DOUBLE,
    str: ColumnType.VAR_STRING,
    bytes: ColumnType.BLOB,
    Decimal: ColumnType.NEWDECIMAL,
}


class TypedText(str):
    """A stored value whose column was declared with a MySQL type."""

    type_code = ColumnType.VAR_STRING


class DecimalText(TypedText):
    """A DECIMAL value."""

    type_code = ColumnType.NEWDECIMAL


class DateText(TypedText):
    """A DATE value."""

    type_code = ColumnType.DATE


class DatetimeText(TypedText):
    """A DATETIME value."""

    type_code = ColumnType.DATETIME


for _name, _type in (
    ("DECIMAL_TEXT", DecimalText),
    ("DATE_TEXT", DateText),
    ("DATETIME_TEXT", DatetimeText),
):
    sqlite3.register_converter(_name, lambda raw, cls=_type: cls(raw.decode()))


def _unescape(text, quote):
    text = text.replace(quote * 2, quote)
    return re.sub(r"\\(.)", lambda m: ESCAPES.get(m[1], m[1]), text, flags=re.S)


def _translate_literal(match):
    if match["name"] is not None:
        return match[0]
    if match["single"] is not None:
        text = _unescape(match["single"], "'")
    else:
        text = _unescape(match["double"], '"')
    raw = text.encode("utf-8", "surrogateescape")
    if match["binary"] or "\0" in text:
        return f"X'{raw.hex()}'"
    return "'" + text.replace("'", "''") + "'"


def _translate_create_table(sql):
    column = AUTO_INCREMENT.search(sql)
    if column:
        sql = AUTO_INCREMENT.sub(r"\1 INTEGER PRIMARY KEY AUTOINCREMENT", sql)
        name = re.escape(column[1].strip("`"))
        sql = re.sub(rf",\s*PRIMARY KEY\s*\(`?{name}`?\)", "", sql, flags=re.I)
    sql = TABLE_OPTIONS.sub(")", sql)
    sql = re.sub(
        r"\b(DECIMAL|NUMERIC)\b(\s*\([^)]*\))?", "DECIMAL_TEXT", sql, flags=re.I
    )
    sql = re.sub(r"\bDATETIME\b(\s*\(\d\))?", "DATETIME_TEXT", sql, flags=re.I)
    return re.sub(r"\bDATE\b", "DATE_TEXT", sql, flags=re.I)


def translate(sql):
    """Return a MySQL statement in the dialect of sqlite3."""
    if "\\" in sql or '"' in sql or "_binary" in sql:
        sql = QUOTED.sub(_translate_literal, sql)
    head = sql.lstrip()[:12].lower()
    if head.startswith("create table"):
        return _translate_create_table(sql)
    if head.startswith("truncate"):
        return re.sub(r"(?i)truncate(\s+table)?", "DELETE FROM", sql, count=1)
    if head.startswith("insert ignor"):
        return re.sub(r"(?i)insert\s+ignore", "INSERT OR IGNORE", sql, count=1)
    return re.sub(r"(?i)\s+for\s+update\s*;?\s*$", "", sql)


def type_code(values):
    """Return a column's MySQL type code, from its first value that is not NULL."""
    for value in values:
        if isinstance(value, TypedText):
            return int(value.type_code)
        if value is not None:
            return int(VALUE_TYPES.get(type(value), ColumnType.VAR_STRING))
    return int(ColumnType.VAR_STRING)
