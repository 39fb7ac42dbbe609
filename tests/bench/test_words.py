"""Tests of bench.words."""

from __future__ import annotations

from bench.words import plain, tag_of, words


def test_answers_follow_from_the_prompt_alone() -> None:
    assert words("a #n=3") == words("a #n=3") and len(words("a #n=3")) == 3
    assert words("a") != words("b")
    assert tag_of("shared\nlot:x:3 what #n=2") == "lot:x:3"
    assert plain("/view/1") != plain("/view/2")
