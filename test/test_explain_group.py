"""Tests of the history of a group's replacements, as read from logs."""

import pytest

from dragonflywing import explain, explain_group
from dragonflywing.errors import UserError
from dragonflywing.ui.ops import Ops

# A replacement that goes as usual; (instance, seconds, event).
USUAL = [
    ("a", 0.5, "database database=x group=g leaving=False born=1 joined=True"),
    ("a", 0.5, "database database=y group=g leaving=False born=1 joined=True"),
    ("a", 0.5, "database database=z group=g leaving=False born=1 joined=True"),
    ("a", 0.9, "duty_taken token=7"),
    ("b", 1.0, "committed request=r1 kind=write database=x term=1 index=4"),
    ("a", 2.0, "replacement_started group=g reason=silent term=2 token=7 primary=x "
     "quorum=2 list_age_s=0.1 voters=x,y,z listed=x,y,z"),
    ("a", 2.1, "paused group=g database=y command=pause for_term=2 promised=2 "
     "received=1/5 born=1"),
    ("a", 2.1, "paused group=g database=z command=pause for_term=2 promised=2 "
     "received=1/4 born=1"),
    ("a", 2.2, "chosen group=g database=y token=7 list_age_s=0.2"),
    ("a", 2.3, "promotion_ordered group=g database=y term=2 token=7 known_term=1"),
    ("b", 3.0, "primary group=g database=y term=2 was=x"),
    ("a", 3.1, "promoted group=g database=y term=2 since_order_s=0.8"),
]  # fmt: skip


def to_log(items):
    """Return the log text of one instance."""
    return "".join(
        f"I0105 10:00:{seconds:09.6f} 12 logs.py:131] event={text}\n"
        for _, seconds, text in items
    )


def describe(items):
    """Return the description of the replacements in lines of several instances."""
    lines = []
    for source in sorted({item[0] for item in items}):
        own = sorted(x for x in items if x[0] == source)
        lines += explain.parse(source, to_log(own))
    return explain_group.describe("g", lines)


def notes(*items):
    """Return the notes on the usual replacement with further lines."""
    text = describe([*USUAL, *items])
    return [line.strip() for line in text if line.startswith("  note: ")]


class TestDescription:
    def test_of_a_usual_replacement_has_its_facts_and_no_note(self):
        text = describe(USUAL)
        assert "1 replacements of g in 2 logs" in text[0] and "may differ" in text[0]
        assert "by a, token 7, reason silent, x -> y" in text[2]
        assert "in effect as term 2 0.700 s after the order" in text[2]
        assert text[3].startswith("  -1.100 a event=duty_taken")
        assert any("+0.100 a event=paused group=g database=z" in x for x in text)
        assert text[-1] == (
            "  callers: acknowledged at x: 1, the last 1/4 by b at -1.000"
        )

    def test_shows_the_same_news_of_several_instances_once(self):
        text = describe([*USUAL, ("a", 3.2, "primary group=g database=y term=2 was=w")])
        assert sum("event=primary" in line for line in text) == 1

    def test_leaves_out_other_groups(self):
        text = describe([*USUAL, ("a", 2.4, "paused group=h database=q received=1/9")])
        assert not any("database=q" in line for line in text)

    @pytest.mark.parametrize("number", range(len(USUAL)))
    def test_copes_with_a_line_that_was_cut_off(self, number):
        source, seconds, event = USUAL[number]
        for length in range(1, len(event)):
            cut = (source, seconds, event[:length])
            describe([*USUAL[:number], cut, *USUAL[number + 1 :]])

    def test_command_prints_it(self, tmp_path, capsys):
        path = tmp_path / "a.log"
        path.write_text(to_log(USUAL))
        Ops().explain("group", "g", str(path))
        assert "x -> y" in capsys.readouterr().out
        with pytest.raises(UserError, match="no replacement of 'h'"):
            Ops().explain("group", "h", str(path))


class TestNotes:
    @pytest.mark.parametrize(
        "event,what",
        [
            ("database_reborn database=z group=g born=9", "restarted or joined"),
            ("resumed group=g database=z token=7", "resumed"),
            ("database_gone database=z group=g born=1", "removed from the list"),
        ],
    )
    def test_a_pause_that_ended_before_the_effect(self, event, what):
        (note,) = notes(("c", 2.6, event))
        assert note.startswith(f"note: z, paused at 1/4, was {what}")
        assert note.endswith("(c), 0.400 s before the effect")

    def test_news_of_what_was_known_before_is_no_end_of_a_pause(self):
        # An instance that starts tells of all databases.
        start = "database database=z group=g leaving=False born=1 joined=True"
        assert notes(("c", 2.6, start)) == []
        reborn = "database_reborn database=z group=g born=9"
        assert notes(("c", 3.6, reborn)) == []

    def test_a_resumption_without_an_order_is_ordinary(self):
        ended = [item for item in USUAL if item[1] < 2.2]
        resumed = ("a", 2.3, "resumed group=g database=z token=7")
        refused = ("a", 2.2, "chosen group=g database=None token=7")
        text = describe([*ended, refused, resumed])
        assert "x -> none ordered" in text[2]
        assert not any("note: " in line for line in text)

    def test_a_later_promotion_is_not_the_effect(self):
        early = [item for item in USUAL if item[1] < 3.0]
        text = describe([*early, ("b", 25.0, "primary group=g database=y term=3")])
        assert "in effect" not in text[2]
        assert "  note: no effect of the order of y was seen" in text

    def test_a_database_that_joined_unpaused(self):
        (note,) = notes(("c", 2.5, "database database=w group=g born=5 joined=True"))
        assert "w restarted or joined unpaused 0.500 s after the start" in note

    def test_a_commit_that_the_promoted_database_may_lack(self):
        commit = "committed request=r2 kind=commit database=x term=1 index=6"
        (note,) = notes(("c", 2.8, commit))
        assert "request r2 was acknowledged by c at x 1/6" in note
        assert "the position 1/5 of the chosen database" in note

    def test_an_effect_after_a_later_order_and_a_lower_token(self):
        found = notes(
            ("c", 2.4, "replacement_started group=g reason=silent term=2 token=5"),
            ("c", 2.5, "promotion_ordered group=g database=z term=2 token=5"),
        )
        assert "note: the effect came after a later order, of z by c" in found
        assert "note: no effect of the order of z was seen" in found
        assert any("token 5 is lower than 7, with which a" in note for note in found)

    def test_a_longer_log_that_was_not_chosen(self):
        (note,) = notes(
            ("a", 2.15, "paused group=g database=w promised=2 received=1/8 born=1")
        )
        assert "w was paused at 1/8, with a longer log" in note

    def test_an_old_list_and_lines_that_are_missing(self):
        chosen = "chosen group=g database=y list_age_s=4.5"
        left_out = "lines_left_out kind=committed count=30"
        found = notes(("a", 2.15, chosen), ("b", 2.5, left_out))
        assert found == [
            "note: the list of databases was 4.5 s old at chosen",
            "note: b left out 30 lines of committed",
        ]

    def test_steps_of_the_permits(self):
        revoked = "permits_revoked group=g token=7 number=3 took_s=1.2 lapsed=f-1"
        awaited = "order_awaited group=g database=z"
        found = notes(("a", 2.05, revoked), ("a", 2.25, awaited))
        assert found == [
            "note: permits lapsed unconfirmed: f-1",
            "note: an earlier order of z was awaited",
        ]
