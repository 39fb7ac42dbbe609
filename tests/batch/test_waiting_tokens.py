"""A view's running count of waiting tokens equals a fresh count over all its jobs, after any records."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from postpass.batch.job import JobState, JobView
from postpass.batch.messages import BudgetKey
from postpass.replication.record_log import Record

JOBS = [f"j{number}" for number in range(4)]
MOST_ITEMS = 3

ids = st.sampled_from(JOBS)
items = st.lists(st.builds(lambda tokens: {"id": "i", "tokens": tokens}, st.integers(0, 50)), max_size=MOST_ITEMS)
jobs_of_routes = st.builds(
    lambda name, route, tenant, job_items: (
        "lot",
        {"id": name, "route": route, "items": job_items, "sum": "s"} | ({"caller": tenant} if tenant else {}),
    ),
    ids, st.sampled_from(["r", "s"]), st.sampled_from(["", "t1", "t2"]), items,
)  # fmt: skip
jobs_of_classes = st.builds(lambda name: ("lot", {"id": name, "class": "c", "items": ["a"], "caller": "t1"}), ids)
results = st.builds(
    lambda name, item, status: ("result", {"id": name, "item": item, "status": status, "output": ""}),
    ids, st.integers(0, MOST_ITEMS - 1), st.sampled_from(["done", "abandoned"]),
)  # fmt: skip
ends = st.builds(lambda name: ("end", {"id": name}), ids)
drops = st.builds(lambda names: ("drop", {"lots": names}), st.lists(ids, max_size=2))
rejections = st.builds(lambda name: ("shed", {"id": name}), ids)
losses = st.builds(lambda names: ("loss", {"edition": 1, "crew": {}, "lots": names}), st.lists(ids, max_size=2))
records = st.lists(st.one_of(jobs_of_routes, jobs_of_classes, results, results, ends, drops, rejections, losses))


def counted_from_jobs(view: JobView) -> dict[BudgetKey, int]:
    """Counts the waiting tokens of a view over all its items, as was done before the view kept a running count."""
    totals: Counter[BudgetKey] = Counter()
    for job in view.jobs.values():
        if "route" not in job.body or job.state != JobState.OPEN or job.complete:
            continue
        for position, item in enumerate(job.body["items"]):
            if position not in job.results:
                totals[BudgetKey(job.body["route"], job.body.get("caller", ""))] += item["tokens"]
    return {key: tokens for key, tokens in totals.items() if tokens}


def known_positions(view: JobView, kind: str, body: dict[str, Any]) -> bool:
    """Returns whether a record names an item that its job has; owners write no others."""
    job = view.jobs.get(body.get("id", ""))
    return kind != "result" or job is None or body["item"] < job.size


@given(records, st.integers(0, 20))
def test_the_count_equals_the_walk_after_any_records_copies_and_dumps(kinds: list[Any], dumped_at: int) -> None:
    view = JobView()
    for seq, (kind, body) in enumerate(kinds, 1):
        if not known_positions(view, kind, body):
            continue
        before, counted_before = view, dict(view.waiting_tokens)
        view = JobView.load(view.dump()) if seq == dumped_at else view.copy()
        assert view.waiting_tokens == counted_before
        view.fold(Record(seq, 1, kind, json.dumps(body).encode()))
        assert view.waiting_tokens == counted_from_jobs(view)
        assert before.waiting_tokens == counted_before


def test_a_job_counts_for_its_tenant_until_its_items_have_results() -> None:
    view = JobView()
    two = [{"id": "a", "tokens": 5}, {"id": "b", "tokens": 7}]
    for seq, tenant in enumerate(("", "firm", "other"), 1):
        body = {"id": f"j{seq}", "route": "r", "items": two, "sum": "s"} | ({"caller": tenant} if tenant else {})
        view.fold(Record(seq, 1, "lot", json.dumps(body).encode()))
    assert view.waiting_tokens == {BudgetKey("r"): 12, BudgetKey("r", "firm"): 12, BudgetKey("r", "other"): 12}
    done = {"id": "j2", "item": 1, "status": "done", "output": ""}
    view.fold(Record(4, 1, "result", json.dumps(done).encode()))
    view.fold(Record(5, 1, "end", json.dumps({"id": "j3"}).encode()))
    assert view.waiting_tokens == {BudgetKey("r"): 12, BudgetKey("r", "firm"): 5}
