"""What a change of one tenant costs: its bytes don't grow with the tenants that it leaves alone."""

from __future__ import annotations

from bench.capacity.measurements.tenants import tenant_row

NUMBERS = 16  # bytes by which numbers in names and versions may differ


def test_the_bytes_of_a_change_do_not_grow_with_the_tenants_it_leaves_alone() -> None:
    few, many = tenant_row(8), tenant_row(800)
    for sent in ("feed_bytes", "journal_bytes"):
        assert abs(many[sent] - few[sent]) <= NUMBERS, (sent, few[sent], many[sent])
    assert many["feed_bytes"] < 400
