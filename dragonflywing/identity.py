"""Authenticates callers by the hashes of their keys."""

import hashlib

from mysql_mimic import utils
from mysql_mimic.auth import IdentityProvider, NativePasswordAuthPlugin, User

# User name of callers without a key, who may use open routes only.
OPEN_USER = "open"


def key_hash(key):
    """Return SHA1(SHA1(key)) in hex, the form in which keys are stored."""
    return hashlib.sha1(hashlib.sha1(key.encode()).digest()).hexdigest()


class CallerUser(User):
    """A workspace as a user, with the hashes of its keys by key id."""

    hashes = {}


class KeyPlugin(NativePasswordAuthPlugin):
    """mysql_native_password with several keys per user."""

    def password_matches(self, user, scramble, nonce):
        """Return whether a key matches; its id is then appended to the user's name."""
        if user.name == OPEN_USER and not user.hashes:
            return not scramble
        for key_id, digest in user.hashes.items():
            if scramble and self.verify_scramble(digest, scramble, nonce):
                user.name = f"{user.name}/{key_id}"
                return True
        return False


class Identity(IdentityProvider):
    """Looks up workspaces in the current configuration."""

    def __init__(self, version_state, metrics):
        self.versions = version_state
        self.metrics = metrics
        self.plugin = KeyPlugin()

    def get_plugins(self):
        return [self.plugin]

    async def get_user(self, username):
        user = CallerUser(username, None, self.plugin.name)
        cfg = self.versions.cfg
        if username == OPEN_USER:
            return user
        workspace = cfg.workspaces.get(username) if cfg else None
        if workspace is None:
            # A random hash makes an unknown workspace indistinguishable from a
            # known one with a wrong key.
            self.metrics.count("refused.unknown_workspace")
            user.hashes = {"": utils.nonce(20).hex()}
            return user
        user.hashes = {key.id: key.hash for key in workspace.keys}
        return user


def split_user(username):
    """Return (workspace, key id) of an authenticated caller."""
    workspace, _, key_id = username.partition("/")
    return (None, None) if workspace == OPEN_USER else (workspace, key_id)


def is_valid_key(cfg, workspace, key_id):
    """Return whether the key is one of the workspace's current keys."""
    item = cfg.workspaces.get(workspace)
    return item is not None and any(key.id == key_id for key in item.keys)
