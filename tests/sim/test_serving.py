"""The emulator of model workers: what it computes for cases that can be worked out by hand, and that it ranks policies."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from postpass.routing.options import DEFAULT_OPTIONS
from sim.serving.compare import play
from sim.serving.engine import EmulatedWorker, Engine, Failure
from sim.serving.fleet import EmulatedFleet, Policy
from sim.serving.presets import NARROW, NARROW_CRASH, NARROW_RESETS, WIDE, drawn
from sim.serving.request import Kind, Request, Spread
from sim.serving.workload import Crash, Workload, draw_requests

PLAIN = Engine(2, 1, step=0.001, step_per_slot=0.0, context_per_token=0.0, read_rate=100e3, pair=0.0, stride=10)
KIND = Kind("k", 1.0, Spread(1000), 1, Spread(1000), Spread(3), 0.5, 0.5, 4.0, 1.0, 0.5)


def request(number: int, shared: int = 1000) -> Request:
    """A request of 1,000 own tokens and 3 events."""
    return Request(KIND, number, 0.0, 0, 0, shared, 1000, 3)


def run(worker: EmulatedWorker) -> float:
    """Plays a worker to the end of all that it has; returns when that was."""
    while (end := worker.start_segment()) is not None:
        worker.advance(worker.segment_steps)
        assert abs(worker.at - end) < 1e-9
    return worker.at


def test_a_prompt_is_read_in_chunks_and_its_kept_prefix_is_not_read_again() -> None:
    worker, first = EmulatedWorker(PLAIN), request(1)
    worker.accept(first, 0.0)
    end = run(worker)
    # Two chunks of 1,024 and 976 tokens at 100 a ms, with a step each; then 29 tokens more.
    assert abs(first.first - (0.02 + 0.002)) < 1e-9 and abs(end - (first.first + 0.029)) < 1e-9
    assert first.read == 2000 and abs(first.longest_pause - 0.010) < 1e-9
    again = request(2)
    worker.accept(again, end)
    run(worker)
    assert again.read == 1000 and abs(again.first - end - 0.011) < 1e-9


def test_slots_and_queue_are_bounded_and_requests_go_in_order() -> None:
    worker = EmulatedWorker(PLAIN)
    several = [request(n) for n in range(3)]
    for one in several:
        assert not worker.full
        worker.accept(one, 0.0)
    assert worker.full and len(worker.runs) == 2 and list(worker.waiting) == [several[2]]
    run(worker)
    assert several[0].first <= several[1].first < several[2].first and several[2].done > several[0].done


def test_kept_prefixes_give_way_to_what_runs() -> None:
    worker = EmulatedWorker(replace(PLAIN, memory=2500))
    worker.accept(request(1), 0.0)
    run(worker)
    other = request(2)
    other.subject = 7
    worker.accept(other, worker.at)
    run(worker)
    assert request(1).key not in worker.kept


def test_what_runs_at_a_crashed_worker_is_lost_and_comes_again() -> None:
    fleet = EmulatedFleet(replace(NARROW_CRASH, seconds=10.0, workers=9, edges=12, kinds=_part(0.2)), _policy(), 3)
    fleet.run()
    assert fleet.requests and all(r.done >= 0 or r.refused for r in fleet.requests)
    assert sum(r.tries > 1 for r in fleet.requests) > 0


def test_the_same_seed_draws_the_same_requests_for_every_policy() -> None:
    drawn_once, again = draw_requests(NARROW, 5), draw_requests(NARROW, 5)
    assert [(r.arrived, r.tokens, r.edge) for r in drawn_once] == [(r.arrived, r.tokens, r.edge) for r in again]
    small = replace(WIDE, seconds=4.0)
    assert play(small, _policy(), 1) == play(small, _policy(), 1)


def test_everything_is_counted_off_again() -> None:
    fleet = EmulatedFleet(replace(NARROW, seconds=5.0, workers=9, edges=12, kinds=_part(0.25)), _policy(), 1)
    fleet.run()
    assert sum(count.total() for count in fleet.live) == 0 == sum(fleet.items)
    assert sum(count.total() for count in fleet.unread) == 0 == sum(fleet.items_unread)


def test_a_shared_picture_of_load_beats_own_counts_where_edges_are_many() -> None:
    small = replace(NARROW, seconds=8.0)
    blind = replace(DEFAULT_OPTIONS, shared_load=False)
    seeing, unseeing = play(small, _policy(), 1), play(small, Policy("own", blind), 1)
    assert seeing.worth > unseeing.worth and seeing.spread < unseeing.spread


def test_no_kind_starves_on_mixes_that_nobody_has_seen() -> None:
    for seed in range(12):
        workload = _shortened(drawn(seed))
        figures = play(workload, _policy(), seed)
        assert all(kind.lost < 0.1 for kind in figures.kinds.values()), (workload, figures)


def _policy(**options: Any) -> Policy:
    return Policy("product", replace(DEFAULT_OPTIONS, **options))


def _part(share: float) -> tuple[Kind, ...]:
    """The kinds of the narrow workload, asked for less often."""
    return tuple(replace(kind, rate=kind.rate * share) for kind in NARROW.kinds)


def _shortened(workload: Workload) -> Workload:
    """A smaller fleet with the same mix, so that a test takes little time."""
    scale = min(1.0, 20 / workload.workers)
    kinds = tuple(replace(k, rate=k.rate * scale, subjects=max(2, int(k.subjects * scale))) for k in workload.kinds)
    return replace(workload, workers=max(4, int(workload.workers * scale)), kinds=kinds, seconds=5.0)


def test_fewer_requests_are_lost_where_edges_tell_each_other_of_workers_that_fail() -> None:
    crashes = (Crash(0.25, 3.0, 6.0, Failure.RESETS),)
    resets = replace(NARROW_RESETS, seconds=10.0, workers=16, edges=30, kinds=_part(0.3), crashes=crashes)
    lost = {
        shared: sum(play(resets, _policy(shared_health=shared), seed).kinds["short"].lost for seed in range(2))
        for shared in (True, False)
    }
    assert 0 <= lost[True] < lost[False] / 2
