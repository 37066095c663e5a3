"""Converts parsed JSON to NamedTuples; errors name the field that is wrong."""

import functools
import types
import typing

import json5
import msgspec

from dragonflywing.errors import UserError


def _is_namedtuple(target_type):
    return isinstance(target_type, type) and hasattr(target_type, "_field_defaults")


# The hints of a type never change, and typing.get_type_hints is slow.
_get_type_hints = functools.cache(typing.get_type_hints)


def _check_type(condition, path, expected, value):
    if not condition:
        actual = type(value).__name__
        raise UserError(f"field {path or '(top)'}: expected {expected}, found {actual}")


def _convert_namedtuple(value, target_type, path):
    _check_type(isinstance(value, dict), path, "an object", value)
    hints = _get_type_hints(target_type)
    prefix = f"{path}." if path else ""
    for name in value:
        if name not in hints:
            known = ", ".join(hints)
            raise UserError(f"field {prefix}{name}: unknown, expected one of {known}")
    for name in hints:
        if name not in value and name not in target_type._field_defaults:
            raise UserError(f"field {prefix}{name}: missing")
    return target_type(
        **{key: convert(value[key], hints[key], f"{prefix}{key}") for key in value}
    )


def convert(value, target_type, path=""):
    """Convert `value` to `target_type`; raise UserError with the field's path."""
    if type(value) is target_type:
        return value
    origin = typing.get_origin(target_type)
    if _is_namedtuple(target_type):
        return _convert_namedtuple(value, target_type, path)
    if origin is dict:
        _check_type(isinstance(value, dict), path, "an object", value)
        item_type = typing.get_args(target_type)[1]
        return {key: convert(value[key], item_type, f"{path}.{key}") for key in value}
    if origin is tuple:
        _check_type(isinstance(value, (list, tuple)), path, "a list", value)
        item_type = typing.get_args(target_type)[0]
        return tuple(convert(x, item_type, f"{path}[{i}]") for i, x in enumerate(value))
    if origin is types.UnionType:
        return msgspec.convert(value, target_type)
    try:
        return msgspec.convert(value, target_type)
    except msgspec.ValidationError as exc:
        raise UserError(f"field {path}: {exc}") from None


def to_plain(value):
    """Convert NamedTuples to dicts and lists that can be encoded as JSON."""
    if hasattr(value, "_asdict"):
        return {key: to_plain(item) for key, item in value._asdict().items()}
    if isinstance(value, dict):
        return {key: to_plain(item) for key, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [to_plain(item) for item in value]
    return value


def load(path, target_type):
    """Read a file of JSON with comments (JSON5) and convert it to `target_type`."""
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
        return convert(value, target_type)
    except UserError as exc:
        raise UserError(f"{path}: {exc}") from None
