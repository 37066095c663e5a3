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


def _raise(path, message):
    raise UserError(f"field {path}: {message}")


def _report_type(report, path, expected, value, target_type):
    report(path or "(top)", f"expected {expected}, found {type(value).__name__}")
    return _placeholder(target_type)


def _placeholder(target_type):
    """Return an empty value of a type, in place of an invalid one."""
    if _is_namedtuple(target_type):
        return _fill_missing({}, target_type)
    origin = typing.get_origin(target_type) or target_type
    return None if origin is types.UnionType else origin()


def _fill_missing(values, target_type):
    missing = {
        name: _placeholder(hint)
        for name, hint in _get_type_hints(target_type).items()
        if name not in values and name not in target_type._field_defaults
    }
    return target_type(**values, **missing)


def _convert_namedtuple(value, target_type, path, report):
    if not isinstance(value, dict):
        return _report_type(report, path, "an object", value, target_type)
    hints = _get_type_hints(target_type)
    prefix = f"{path}." if path else ""
    for name in value:
        if name not in hints:
            known = ", ".join(hints)
            report(f"{prefix}{name}", f"unknown, expected one of {known}")
    for name in hints:
        if name not in value and name not in target_type._field_defaults:
            report(f"{prefix}{name}", "missing")
    values = {
        key: convert(value[key], hints[key], f"{prefix}{key}", report)
        for key in value
        if key in hints
    }
    return _fill_missing(values, target_type)


def convert(value, target_type, path="", report=_raise):
    """Convert `value` to `target_type`; raise UserError with the field's path.

    `report(path, message)` may record errors instead of raising them. Invalid and
    missing values are then replaced by defaults or empty ones.
    """
    if type(value) is target_type:
        return value
    origin = typing.get_origin(target_type)
    if _is_namedtuple(target_type):
        return _convert_namedtuple(value, target_type, path, report)
    if origin is dict:
        if not isinstance(value, dict):
            return _report_type(report, path, "an object", value, target_type)
        item_type = typing.get_args(target_type)[1]
        return {
            key: convert(value[key], item_type, f"{path}.{key}", report)
            for key in value
        }
    if origin is tuple:
        if not isinstance(value, (list, tuple)):
            return _report_type(report, path, "a list", value, target_type)
        item_type = typing.get_args(target_type)[0]
        return tuple(
            convert(x, item_type, f"{path}[{i}]", report) for i, x in enumerate(value)
        )
    if origin is types.UnionType:
        return msgspec.convert(value, target_type)
    try:
        return msgspec.convert(value, target_type)
    except (msgspec.ValidationError, UnicodeEncodeError) as exc:
        report(path, str(exc))
        return _placeholder(target_type)


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
