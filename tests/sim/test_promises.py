"""Tests of sim.promises."""

from __future__ import annotations

import re

from sim.broken import CASES, MORE
from sim.check import CHECKS
from sim.crash import PROGRAMMES
from sim.points import is_known_point
from sim.promises import EVERY, NEVER, PAGE, ROOT, proof, variants
from sim.scenario import FOLDER


def test_the_page_is_held_to_the_tree() -> None:
    text = PAGE.read_text()
    assert {r.check for r in NEVER} == set(CHECKS) == set(CASES)
    assert {w for r in EVERY for w in r.ways} == set(MORE)
    for r in EVERY:
        assert all((FOLDER / f"{n}.txt").exists() for n in r.runs), r
        assert r.met and all(is_known_point(m) for m in r.met), r
        assert all(c in PROGRAMMES for c in r.crash)
        for path, name in (t.split("::") for t in r.tests):
            assert f"def {name}(" in (ROOT / path).read_text(), name
        row = next((x for x in text.splitlines() if x.startswith(f"| {r.line} |")), "")
        assert proof(r) in row and variants(r) in row, f"write docs/promises.md anew: {r.line}"
        cells = [c.strip() for c in row.split("|")]
        counts = re.findall(r" (\d+)(?:,|$)", cells[5])
        assert len(counts) == len(r.met) and any(int(c) > 0 for c in counts), f"never met: {row}"
        assert int(cells[7]) >= len(r.runs) and cells[8] == "0", row
