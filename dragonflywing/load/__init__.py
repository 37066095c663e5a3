"""Load tests, experiments and history checks against real processes."""
