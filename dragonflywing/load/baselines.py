"""Simpler mechanisms for comparison, as patches to a copy of the package.

Figures of the product are compared with those of a baseline that is measured in
the same run. No setting of the product selects a baseline.
"""

import os
import shutil
import tempfile
from typing import NamedTuple

import dragonflywing
from dragonflywing.errors import UserError

PACKAGE = os.path.dirname(os.path.abspath(dragonflywing.__file__))


class Change(NamedTuple):
    """A text to replace in one file of the package."""

    path: str
    old: str
    new: str


BASELINES = {
    "static division": Change("limiter.py", "self._move_shares(now)", "continue"),
    "ack on primary alone": Change(
        "decisions/acks.py", "if stored >= majority(state.size):", "if stored >= 1:"
    ),
    "fence per read": Change(
        "decisions/fences.py",
        "state.active_waiters = state.next_waiters\n    state.next_waiters = []",
        "state.active_waiters = [state.next_waiters.pop(0)]",
    ),
    "random replica": Change(
        "decisions/routing.py",
        "return min(pair, key=expected_latency)",
        "return rng.choice(pair)",
    ),
}


def replace_once(path, old, new):
    """Replace a text that must occur exactly once in a file."""
    with open(path, encoding="utf-8") as file:
        text = file.read()
    if text.count(old) != 1:
        raise UserError(f"{path}: the text to replace must occur exactly once")
    with open(path, "w", encoding="utf-8") as file:
        file.write(text.replace(old, new))


def package_path(name):
    """Return a new folder with a patched copy of the package, or None for no name."""
    if name is None:
        return None
    if name not in BASELINES:
        raise UserError(f"baseline {name!r}: expected one of {', '.join(BASELINES)}")
    change = BASELINES[name]
    folder = tempfile.mkdtemp(prefix="dfw-baseline-")
    ignore = shutil.ignore_patterns("__pycache__")
    copy = os.path.join(folder, "dragonflywing")
    shutil.copytree(PACKAGE, copy, ignore=ignore)
    path = os.path.join(copy, change.path)
    replace_once(path, change.old, change.new)
    return folder
