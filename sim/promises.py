"""The promises to the users, row by row: the mechanism that keeps each, the runs that provoke its failure, the broken variant
that its check catches, how often the dangerous moment was passed, and the worst figure that was measured.

python -m sim.promises        # plays the runs and rewrites docs/promises.md
"""

from __future__ import annotations

import multiprocessing
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from sim.runner import judge, play
from sim.scenario import FOLDER, parse

SEEDS_PER_SCENARIO = 2  # how many seeds of each scenario are run for the page; CI runs all that the scenario lists
ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "promises.md"


@dataclass(frozen=True)
class Row:
    """One promise and its evidence.

    Attributes:
        line: the promise, as the page names it.
        keeps: the mechanism that keeps it.
        runs: names of scenarios whose runs bring the failure about.
        met: names of points; a run that passes one of them goes through the dangerous moment.
        worst: the name of a figure of the runs, of which the page shows the highest.
        check: the name of the check in sim.check; its broken variant is in sim.broken.
        ways: further broken variants, in sim.broken.
        tests: tests that bring the failure about, as FILE::NAME.
        crash: names of programmes of sim.crash.
    """

    line: str
    keeps: str
    runs: tuple[str, ...]
    met: tuple[str, ...]
    worst: str = ""
    check: str = ""
    ways: tuple[str, ...] = ()
    tests: tuple[str, ...] = ()
    crash: tuple[str, ...] = ()


NEVER = (
    Row("A kept lot is lost", "`kept` only past the frontier of synced copies; promises that meet every covering set",
        ("kept-then-power", "kept-then-disk", "kept-then-area", "kept-then-frozen", "owner-wiped", "area-lost"), ("kept", "E120"), "kept_gap",
        "lost", crash=("lots", "takeover", "members", "retirement")),
    Row("An item stands twice, or a result changes after it was read", "first result by sequence number; only covered ones are read, confirmed under the epoch",
        ("read-then-changed-owner", "sched-frozen"), ("paged", "answers.done", "E126"), "", "changed", crash=("lots",)),
    Row("A result is done without its whole output in order", "done only after the server's last word; each piece in its place",
        ("worker-each-piece", "worker-garbage", "worker-crashes"), ("piece.1", "piece.6"), "", "unwhole"),
    Row("Anything of a refused lot runs", "refused only if nothing was sequenced, or by a covered record that wins",
        ("refused-every-way", "disk-full"), ("shed", "E114"), "", "refused_ran", crash=("lots",)),
    Row("Items of an ended lot reach workers late", "a lease asked again right before the bytes go",
        ("ended-in-each-state", "sched-frozen"), ("ended", "gate.shut", "E150"), "late_end", "ended_ran", crash=("lots",)),
    Row("A call that may not be repeated runs twice, or after `never`", "the ledger proves that no byte left; a covered claim where there is a key",
        ("once-at-each-step", "worker-each-piece"), ("answers.claim", "gate.open", "E161"), "", "twice",
        tests=("tests/sim/test_interface.py::test_a_once_call_with_a_key_runs_once_whichever_edge_it_is_sent_to",)),
    Row("A stream skips, repeats, splices, or looks finished", "numbered pieces, one last event with count and sum; nothing after a cut",
        ("worker-each-piece", "worker-crashes", "edge-killed"), ("piece.1", "E160"), "", "spliced"),
    Row("An answer reaches the wrong caller, or is cut but looks whole", "one attempt a stream; lengths passed on, answers without one refused",
        ("worker-each-piece", "calm"), ("took",), "", "wrong_caller",
        tests=("tests/sim/test_interface.py::test_pipelined_and_slow_callers_get_their_own_answers", "tests/sim/test_interface.py::test_a_plain_answer_cut_anywhere_never_looks_whole",
               "tests/sim/test_interface.py::test_a_caller_who_goes_has_its_work_cancelled_at_the_worker")),
    Row("A leaving worker or an evacuated area gets new work late", "barred at once where the edition is in force; who hears nobody places nothing",
        ("worker-leaves", "leave-while-frozen", "edge-cut-from-all"), ("applied.200", "applied.202", "E143"), "late_leave", "leaving", ("never deaf",)),
    Row("An acknowledged manifest is not in force, goes back, or reads back older", "answered 200 once all confirm, 202 names the rest; editions only grow; reads are confirmed",
        ("apply-at-each-step", "edge-cut-from-all", "edge-cut-from-control", "news-past-control", "control-wiped"), ("applied.200", "applied.202", "answers.read"),
        "late_edition", "stale", crash=("apply", "primary")),
    Row("Two operators both win", "made from an edition, under one primary's lock, on both disks before the answer",
        ("operators-race-at-takeover", "two-operators", "control-split"), ("applied.412", "E130"), "", "both_won", crash=("apply", "primary")),
    Row("A fresh worker is flooded", "room grows with its age; a silent connection tells of each restart",
        ("worker-restarts-in-a-crowd", "worker-crashes"), ("E153",), "", "flooded"),
)  # fmt: skip
FAILS = (
    Row("Crowds, of live callers and lots", "bounded backlogs, early refusals, loans called back", ("crowd", "many-edges"), ("took",), "first_p95",
        tests=("tests/sim/test_interface.py::test_a_full_backlog_is_told_at_once_and_when_to_come_back",)),
    Row("Workers crash, vanish, are replaced", "the ledger; ramp", ("worker-crashes", "worker-restarts-in-a-crowd"), ("E153",), "calls_gap"),
    Row("Daemons killed", "order and epochs", ("edge-killed", "owner-killed", "primary-killed"), ("E120", "E130"), "kept_gap", crash=("takeover", "primary")),
    Row("Daemons frozen and woken", "epochs, leases, news no older than what is heard", ("owner-frozen", "mirror-frozen", "primary-frozen", "sched-frozen", "kept-then-frozen"), ("E121", "E120"), "kept_gap"),
    Row("Power or disk lost right after an acknowledgement", "synced copies on three of four", ("kept-then-power", "kept-then-disk", "owner-power", "backup-wiped"), ("kept", "synced.log"), "kept_gap", crash=("lots",)),
    Row("The busiest store hit", "as above", ("kept-then-power", "kept-then-disk", "refused-every-way"), ("E120",), "kept_gap"),
    Row("Machines added, replaced, emptied, retired", "one member at a time, whole before it counts", ("replaced-store", "retired-store", "second-disk-in-a-refill"), ("E124",), "kept_gap", crash=("members", "retirement")),
    Row("Restarts by SIGTERM", "handed over before it stops", ("restarts-by-sigterm", "rolling-versions"), ("E105", "E126"), "kept_gap"),
    Row("The control core cut off or split", "the data plane serves on; a majority grants", ("control-gone", "control-split"), ("E130",), "calls_gap"),
    Row("A store cut off or split", "fenced by promises", ("store-isolated", "one-way-cut", "beyond-not-by-a-cut"), ("E121", "E122"), "kept_gap"),
    Row("Disks full, failing, damaged", "room held back; nothing trusted after a failed sync", ("disk-full", "disk-sync-fails", "disk-damaged", "disk-spoiled-at-the-end"), ("E114", "E113", "E112"), "kept_gap"),
    Row("Many changes, many routes", "a numbered feed of changes", ("routes-grow", "predicate-changes"), ("E140",), "late_edition"),
    Row("A day that wipes what was acknowledged", "the best log or edition that is left, told as a loss", ("beyond-stores-wiped", "beyond-all-wiped", "beyond-control-wiped", "beyond-pair-wiped"), ("E125", "E133"), "kept_gap"),
)  # fmt: skip
BOUNDS = (
    Row("End, 3 s", "lease 1 s", ("ended-in-each-state", "sched-frozen"), ("ended",), "late_end"),
    Row("Leave, 2 s", "deaf after 1.5 s", ("worker-leaves", "leave-while-frozen", "edge-cut-from-all"), ("applied.200", "applied.202"), "late_leave"),
    Row("Evacuate, 5 s", "the same", ("worker-leaves", "leave-while-frozen", "edge-cut-from-all"), ("applied.200", "applied.202"), "late_evacuate"),
    Row("Manifest, 2 s", "asked of every daemon", ("apply-at-each-step", "edge-cut-from-control", "news-past-control"), ("applied.200",), "late_edition"),
    Row("Recover, 12 s", "detect 1.5 s, stagger 0.5 s", ("beyond-stores-wiped", "beyond-all-wiped", "beyond-control-wiped", "area-lost"), ("E125", "E133"), "kept_gap"),
)  # fmt: skip
SECTIONS = {"What must never happen": NEVER, "What fails": FAILS, "The bounds": BOUNDS}
ALL_ROWS = tuple(row for rows in SECTIONS.values() for row in rows)


def proof(row: Row) -> str:
    """Returns the names of the runs that provoke the failure of a promise, for the page."""
    return ", ".join(
        [*(f"`{n}`" for n in row.runs), *(f"`{t}`" for t in row.tests), *(f"crash `{c}`" for c in row.crash)]
    )


def variants(row: Row) -> str:
    """Returns the names of the broken variants that the check of a promise catches, for the page."""
    return ", ".join([*([f"`{row.check}`"] if row.check else []), *(f"`{w}`" for w in row.ways)]) or "-"


def play_run(name_and_seed: tuple[str, int]) -> tuple[str, int, list[str], dict[str, float]]:
    """Plays a scenario under a seed; returns its name, the seed, what is wrong with the run, and its figures."""
    name, seed = name_and_seed
    scenario = parse((FOLDER / f"{name}.txt").read_text(), name)
    report = play(scenario, seed)
    return name, seed, judge(scenario, report), report.stats


def format_page(results: Iterable[tuple[str, int, list[str], dict[str, float]]]) -> str:
    """Returns the page, in Markdown, from what `play_run` returned for each run."""
    all_results = list(results)
    lines = [
        "# What was promised, and how it was proved", "",
        "Made by `python -m sim.promises`, from the runs named, under the first two seeds of each (CI runs all). *Met* counts how often",
        "the dangerous moment was passed in all of them together (`docs/testing.md` tells the names); *worst* is the highest",
        "figure that any of them showed. The broken variant of each check (`sim/broken.py`) is caught in CI. Crash points are in",
        "`docs/reports/crash.md`, real processes in `docs/reports/kompressorlab.md`, `couriers.md` and `wipe.md`.", "",
    ]  # fmt: skip
    for title, rows in SECTIONS.items():
        lines += [
            f"## {title}",
            "",
            "| line | kept by | brought about in | broken variant | met | worst | seeds | breaches |",
            "|---|---|---|---|---|---|---|---|",
        ]
        for row in rows:
            row_results = [g for g in all_results if g[0] in row.runs]
            met = ", ".join(
                f"{point} {sum(g[3].get(f'point_{point}', 0) for g in row_results):.0f}" for point in row.met
            )
            worst = f"{row.worst} {max(g[3].get(row.worst, 0.0) for g in row_results):.2f} s" if row.worst else "-"
            failed_count = sum(bool(g[2]) for g in row_results)
            lines.append(
                f"| {row.line} | {row.keeps} | {proof(row)} | {variants(row)} | {met} | {worst} | {len(row_results)} | {failed_count} |"
            )
        lines.append("")
    lines += [
        "## What can't be kept, and why", "",
        "- A process stopped between its last check of a lease and the kernel's taking the bytes sends them on waking. The window is a",
        "  few machine instructions; the interface of workers has no deadline that could close it.",
        "- A model server that itself ends early and says that it is whole, or that doesn't tell the place of its pieces (`offsets: false`),",
        "  can't be told from a sound one.",
        "- Daemons that are cut off together serve on with their last edition; the 202 names them.", "",
        "Figures: `kept_gap` and `calls_gap` are the longest times without a lot kept or a live call done, at the scenario's own rate;",
        "`late_end`, `late_leave`, `late_evacuate` the latest new work after the answer; `late_edition` the latest sight of an older",
        "edition at a daemon that the answer did not name, sampled every 0.25 s; `first_p95` the time to the first piece.", "",
        "Why some figures are zero: an apply is answered 200 only once every daemon runs the edition, and 202 only after two seconds,",
        "by when a daemon that hears nobody has placed nothing for half a second; so nothing late is left to be seen *after* the",
        "answer. The variants `leaving`, `never deaf` and `stale` show that the same checks see it where it happens. The longest",
        "`kept_gap` is that of `beyond-not-by-a-cut`, where two of four stores are cut off on purpose and nothing may be kept.",
        "",
    ]  # fmt: skip
    return "\n".join(lines)


def main() -> int:
    """Plays all runs and writes the page; returns 1 if anything is wrong with any run."""
    names = sorted({n for row in ALL_ROWS for n in row.runs})
    runs = [(n, seed) for n in names for seed in parse((FOLDER / f"{n}.txt").read_text(), n).seeds[:SEEDS_PER_SCENARIO]]
    with multiprocessing.Pool(8, maxtasksperchild=8) as pool:
        results = pool.map(play_run, runs, chunksize=1)
    for name, seed, flaws, _ in results:
        for flaw in flaws[:3]:
            print(f"FAILED {name} seed {seed}: {flaw[:200]}")
    PAGE.write_text(format_page(results))
    return 1 if any(g[2] for g in results) else 0


if __name__ == "__main__":
    sys.exit(main())
