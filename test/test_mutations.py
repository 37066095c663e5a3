"""Checks that every mutation can be applied to the sources."""

import os

import pytest

from test.mutations import MUTATIONS, ROOT


class TestMutations:
    @pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda item: item.name)
    def test_replaces_a_text_that_occurs_once(self, mutation):
        with open(os.path.join(ROOT, mutation.path), encoding="utf-8") as file:
            assert file.read().count(mutation.old) == 1
