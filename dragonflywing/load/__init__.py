"""Load, experiments and history checks against real processes."""
