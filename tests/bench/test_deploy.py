"""Tests of bench.deploy."""

from __future__ import annotations

from bench.deploy import DEPLOYMENTS, FOLDER, text


def test_the_examples_are_these_and_are_good_manifests() -> None:
    from postpass.configuration.configuration_check import check

    for d in DEPLOYMENTS.values():
        assert check(d.manifest).is_ok(), check(d.manifest)
        assert (FOLDER / f"{d.name}.json").read_text() == text(d), "write them anew: python -m bench.deploy"
