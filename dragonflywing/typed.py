"""Checks parsed JSON into NamedTuples and names the field of each mistake."""

import functools
import types
import typing

import json5
import msgspec

from dragonflywing.errors import UserError


def _is_namedtuple(kind):
    return isinstance(kind, type) and hasattr(kind, "_field_defaults")


# Hints are the same at every field of a kind, and slow to work out.
_hints = functools.cache(typing.get_type_hints)


def _expect(condition, path, expected, value):
    if not condition:
        found = type(value).__name__
        raise UserError(f"field {path or '(top)'}: expected {expected}, found {found}")


def _convert_namedtuple(value, kind, path):
    _expect(isinstance(value, dict), path, "an object", value)
    hints = _hints(kind)
    prefix = f"{path}." if path else ""
    for name in value:
        if name not in hints:
            known = ", ".join(hints)
            raise UserError(f"field {prefix}{name}: unknown, expected one of {known}")
    for name in hints:
        if name not in value and name not in kind._field_defaults:
            raise UserError(f"field {prefix}{name}: missing")
    return kind(
        **{key: convert(value[key], hints[key], f"{prefix}{key}") for key in value}
    )


def convert(value, kind, path=""):
    """Return `value` as an instance of `kind`, or raise UserError with the path."""
    if type(value) is kind:
        return value
    origin = typing.get_origin(kind)
    if _is_namedtuple(kind):
        return _convert_namedtuple(value, kind, path)
    if origin is dict:
        _expect(isinstance(value, dict), path, "an object", value)
        inner = typing.get_args(kind)[1]
        return {key: convert(value[key], inner, f"{path}.{key}") for key in value}
    if origin is tuple:
        _expect(isinstance(value, (list, tuple)), path, "a list", value)
        inner = typing.get_args(kind)[0]
        return tuple(convert(x, inner, f"{path}[{i}]") for i, x in enumerate(value))
    if origin is types.UnionType:
        return msgspec.convert(value, kind)
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as exc:
        raise UserError(f"field {path}: {exc}") from None


def to_plain(value):
    """Return NamedTuples turned back into dicts and lists for JSON."""
    if hasattr(value, "_asdict"):
        return {key: to_plain(item) for key, item in value._asdict().items()}
    if isinstance(value, dict):
        return {key: to_plain(item) for key, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [to_plain(item) for item in value]
    return value


def load(path, kind):
    """Read a file of JSON with comments as an instance of `kind`."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except OSError as exc:
        raise UserError(f"{path}: {exc.strerror}") from None
    try:
        value = json5.loads(text)
    except ValueError as exc:
        raise UserError(f"{path}: not JSON with comments: {exc}") from None
    try:
        return convert(value, kind)
    except UserError as exc:
        raise UserError(f"{path}: {exc}") from None
