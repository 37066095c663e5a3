"""The active configuration of an instance, and when it was last confirmed."""


class VersionState:
    """The active configuration and the time as of which it was the latest one."""

    def __init__(self):
        self.cfg = None
        self.confirmed_at = None


def adopt(state, cfg):
    """Activate a configuration if it is newer; return whether it was."""
    if state.cfg is not None and cfg.version <= state.cfg.version:
        return False
    state.cfg = cfg
    return True


def confirm(state, now, version, age_s):
    """Record that `version` was the latest one in the store `age_s` seconds ago."""
    if state.cfg is None or version < state.cfg.version:
        return
    confirmed_at = now - age_s
    if version == state.cfg.version and (
        state.confirmed_at is None or confirmed_at > state.confirmed_at
    ):
        state.confirmed_at = confirmed_at


def age(state, now):
    """Return the seconds since the configuration was confirmed as the latest."""
    if state.confirmed_at is None:
        return float("inf")
    return now - state.confirmed_at


def version(state):
    """Return the version of the active configuration, or 0 if there is none."""
    return state.cfg.version if state.cfg else 0
