"""Which configuration an instance has in force, and how fresh it is."""


class VersionState:
    """The configuration in force and when the store last confirmed it."""

    def __init__(self):
        self.cfg = None
        self.confirmed_at = None


def adopt(state, cfg):
    """Adopt a configuration if it is newer; return whether it was adopted."""
    if state.cfg is not None and cfg.version <= state.cfg.version:
        return False
    state.cfg = cfg
    return True


def confirm(state, now, version, age_s):
    """Note that `version` was the store's latest `age_s` seconds ago."""
    if state.cfg is None or version < state.cfg.version:
        return
    moment = now - age_s
    if version == state.cfg.version and (
        state.confirmed_at is None or moment > state.confirmed_at
    ):
        state.confirmed_at = moment


def age(state, now):
    """Return the seconds since the store confirmed the configuration."""
    if state.confirmed_at is None:
        return float("inf")
    return now - state.confirmed_at


def version(state):
    """Return the version in force, 0 if there is none."""
    return state.cfg.version if state.cfg else 0
