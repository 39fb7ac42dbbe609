"""Tests of sim.promises."""

from __future__ import annotations

import re

from sim.broken import CASES, FURTHER_CASES
from sim.check import CHECKS
from sim.crash import PROGRAMMES
from sim.points import is_known_point
from sim.promises import ALL_ROWS, NEVER, PAGE, ROOT, proof, variants
from sim.scenario import FOLDER


def test_the_page_is_held_to_the_tree() -> None:
    text = PAGE.read_text()
    assert {promise.check for promise in NEVER} == set(CHECKS) == set(CASES)
    assert {w for promise in ALL_ROWS for w in promise.ways} == set(FURTHER_CASES)
    for promise in ALL_ROWS:
        assert all((FOLDER / f"{n}.txt").exists() for n in promise.runs), promise
        assert promise.met and all(is_known_point(m) for m in promise.met), promise
        assert all(c in PROGRAMMES for c in promise.crash)
        for path, name in (t.split("::") for t in promise.tests):
            assert f"def {name}(" in (ROOT / path).read_text(), name
        row = next((x for x in text.splitlines() if x.startswith(f"| {promise.line} |")), "")
        assert proof(promise) in row and variants(promise) in row, f"write docs/promises.md anew: {promise.line}"
        cells = [c.strip() for c in row.split("|")]
        counts = re.findall(r" (\d+)(?:,|$)", cells[5])
        assert len(counts) == len(promise.met) and any(int(c) > 0 for c in counts), f"never met: {row}"
        assert int(cells[7]) >= len(promise.runs) and cells[8] == "0", row
