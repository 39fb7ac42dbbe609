"""Numbered events: each line of a log carries the number of its kind; docs/events.md is the catalogue."""

from __future__ import annotations

from collections import Counter, deque
from pathlib import Path

from absl import logging

CATALOGUE: dict[int, tuple[str, str]] = {
    100: ("started", "A daemon serves; its duties and addresses follow."),
    101: ("stopping", "SIGTERM or SIGINT was taken; open calls come to their end, then the process leaves."),
    105: ("handing-over", "This daemon leaves: what it owns, schedules or leads goes to another before it stops."),
    102: ("link-closed", "An internal link was closed; step and peer follow. Foreign or oversized bytes end here too."),
    103: ("task-failed", "A task of the daemon ended with an error it did not expect; it is started again."),
    104: ("handler-failed", "A message of a peer met an error in its handler; step and peer follow, the peer is told."),
    106: ("wire-unmet", "A peer speaks no wire number that this release speaks; nothing else is said on that link."),
    107: ("seeds", "The settings name other seeds, which are used from now on."),
    108: ("settings-bad", "The settings were read again and can't be used; the process goes on with what it had."),
    110: ("disk-new", "A data folder was formatted; the disk has a new identity and votes only once refilled."),
    111: ("disk-torn", "A torn tail was cut from the last segment; nothing in it had been called synced."),
    112: ("disk-damaged", "A file is damaged in the middle; it is set aside, nothing is served from it, peers refill."),
    113: ("disk-failed", "A sync failed; the data is not trusted again and the process leaves."),
    114: ("disk-full", "The disk is full, but for the room held back for ends, results and trims."),
    120: ("owner", "This store became a partition's owner under a new epoch."),
    121: ("owner-lost", "This store is no longer a partition's owner: a higher epoch was seen."),
    122: ("mirror-silent", "A mirror has not acknowledged for the silent bound; it left the memory stream."),
    123: ("mirror-refill", "A mirror is refilled from a snapshot."),
    124: ("members", "A partition's members changed; the record that says so is covered under both."),
    125: ("loss", "More was lost than is tolerated: the partition resumes with the best log there is."),
    126: ("handed-on", "An owner handed its partition to the one that stands before it in the agreed order."),
    130: ("primary", "This control machine is the primary of a new epoch."),
    131: ("primary-lost", "This control machine is no longer the primary: a higher epoch was seen."),
    132: ("backup", "The primary took another backup, under a new epoch."),
    133: ("control-loss", "Primary and backup lost their state: rebuilt from the newest edition that daemons hold."),
    134: ("voter", "A control machine with a new disk was admitted to vote."),
    135: ("founded", "The seeds have founded an announced fleet; its first control machines follow."),
    136: ("joined", "A machine that announced itself is known to control."),
    137: (
        "dropped",
        "Machines or workers that are not heard any more were dropped, or the number of copies was settled.",
    ),
    138: ("ordered", "An order of the operator was taken and is durable."),
    140: ("manifest", "A newer edition of the manifest is in force here."),
    141: ("manifest-shed", "A manifest was refused; the flaws follow."),
    142: ("fresh", "A started daemon has news that are proved fresh; only now does it take or place any work."),
    143: ("deaf", "This daemon hears neither control nor any other daemon and gives no new work, or hears one again."),
    144: ("in-force", "All that serve have said that they run a new edition, or some have not within the bound."),
    145: (
        "change-unfit",
        "A change of the control state did not fit the state held here; the whole state is asked for.",
    ),
    150: ("sched-on", "This daemon schedules lots from now on."),
    151: ("sched-off", "This daemon schedules no longer: one before it in the order is back, or it is fenced."),
    152: ("loan-back", "Batch items were cancelled at a worker to hand room back to live callers."),
    153: ("worker", "A worker's state as seen here changed: up, down, leaving, odd weights, ramping."),
    154: ("plug-failed", "A plug-in raised or answered nonsense; the default was taken."),
    160: ("call-broken", "A live call's stream ended with an explicit error; step and peer follow."),
    161: ("claim", "A call that may not be repeated was claimed, or refused because it had been."),
    170: ("relay-broken", "A relayed request may have run and got no whole answer; route, worker and cause follow."),
    171: ("worker-avoided", "A worker refused or broke a connection, or is another one; it is avoided for a moment."),
    172: ("relay-late", "A relayed request was answered after its aim, or with a longer pause than its route's gap."),
    173: ("relay-refused", "Requests were refused, none of which ran; their number by cause since the last such line."),
}

# Bounded: the newest events, for `pp status`, tests and the doctor.
RECENT: deque[tuple[int, str]] = deque(maxlen=400)
COUNTS: Counter[int] = Counter()


def emit(number: int, who: str, **more: object) -> None:
    name, _ = CATALOGUE[number]
    tail = " ".join(f"{k}={v}" for k, v in more.items())
    COUNTS[number] += 1
    RECENT.append((number, f"{who} {tail}"))
    bad = number in (103, 112, 113, 125, 133)
    (logging.warning if bad else logging.info)("E%03d %s %s %s", number, name, who, tail)


def catalogue() -> str:
    rows = "\n".join(f"| E{n:03d} | {name} | {text} |" for n, (name, text) in sorted(CATALOGUE.items()))
    return (
        "# Events\n\nEach line of a daemon's log that tells of an event begins with its number.\n\n"
        f"| number | name | what it says |\n|---|---|---|\n{rows}\n"
    )


if __name__ == "__main__":
    (Path(__file__).parents[2] / "docs" / "events.md").write_text(catalogue())
