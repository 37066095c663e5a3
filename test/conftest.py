"""Imports hypothesis before the tests run.

Otherwise its first import can come in pytest's summary, where it can fail.
"""

import hypothesis

__all__ = ["hypothesis"]
