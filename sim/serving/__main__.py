"""Compares policies of placement: `python -m sim.serving [--workloads A,B] [--seeds N] [--jobs N] [--off NAME,...] [--plot FILE]`.

`--off` names options, each of which is set to what stands for its absence, in a policy of its own: an ablation. Without it, the
product's policy is compared with one that knows an edge's own counts alone.
"""

from __future__ import annotations

from dataclasses import replace

import fire

from postpass.routing.options import DEFAULT_OPTIONS, RoutingOptions
from sim.serving.compare import play_all, plot, table
from sim.serving.fleet import Policy
from sim.serving.presets import PRESETS, drawn

ABSENT: dict[str, RoutingOptions] = {
    "prefix_homes": replace(DEFAULT_OPTIONS, prefix_homes=0),
    "second_home": replace(DEFAULT_OPTIONS, prefix_homes=1),
    "home_patience": replace(DEFAULT_OPTIONS, home_patience=0.0),
    "home_overflow": replace(DEFAULT_OPTIONS, home_overflow=0.0),
    "shared_load": replace(DEFAULT_OPTIONS, shared_load=False),
    "unread_tokens": replace(DEFAULT_OPTIONS, unread_tokens=False),
    "crowded": replace(DEFAULT_OPTIONS, crowded=0.0),
    "sampled": replace(DEFAULT_OPTIONS, sampled=1),
    "health": replace(DEFAULT_OPTIONS, health=False),
    "shared_health": replace(DEFAULT_OPTIONS, shared_health=False),
    "spread_items": replace(DEFAULT_OPTIONS, spread_items=False),
    "overdue_last": replace(DEFAULT_OPTIONS, overdue_last=False),
    "live_reserve": replace(DEFAULT_OPTIONS, live_reserve=0.0),
}


def main(
    workloads: str = "narrow,narrow-busy,wide,many-edges",
    seeds: int = 20,
    jobs: int = 4,
    off: str = "",
    plot_to: str = "",
) -> None:
    """Prints a table for each workload; a number stands for a drawn one."""
    names = off if isinstance(off, str) else ",".join(off)
    chosen = [name for name in names.split(",") if name] or ["shared_load"]
    chosen = list(ABSENT) if chosen == ["all"] else chosen
    policies = [Policy("product", DEFAULT_OPTIONS), *(Policy(f"no {name}", ABSENT[name]) for name in chosen)]
    asked = workloads if isinstance(workloads, (tuple, list)) else str(workloads).split(",")
    for name in asked:
        workload = PRESETS[name] if name in PRESETS else drawn(int(name))
        results = play_all(workload, policies, range(seeds), jobs)
        print(f"{workload.name}: {workload.edges} edges, {workload.workers} workers, {seeds} seeds")
        print(table(results), flush=True)
        if plot_to:
            plot(results, plot_to.replace("NAME", workload.name))


if __name__ == "__main__":
    fire.Fire(main)
