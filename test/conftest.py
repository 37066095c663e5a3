"""Imports hypothesis early: its late import in pytest's summary can fail."""

import hypothesis

__all__ = ["hypothesis"]
