"""Imports hypothesis before the tests run, and gives each its own memory budget.

Otherwise the import can come in pytest's summary, where it can fail.
"""

import hypothesis
import pytest

from dragonflywing import metering

__all__ = ["hypothesis"]


@pytest.fixture(autouse=True)
def unlimited_meter(monkeypatch):
    """Let no test see what the sessions of earlier ones are charged."""
    monkeypatch.setattr(metering, "meter", metering.Meter())
