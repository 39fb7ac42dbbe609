"""The counts of waiting tokens at the holder of a route's budget."""

from postpass.batch.quota import Budget


class Test_Budget:
    def test_partitions_that_have_not_reported_are_listed(self) -> None:
        budget = Budget()
        assert budget.report(0, 3, 1, 10) and budget.unreported(3) == [1, 2]

    def test_a_grant_counts_until_its_owner_reports_a_later_count(self) -> None:
        budget = Budget()
        assert budget.report(0, 3, 1, 10) and budget.report(1, 5, 1, 20)
        assert budget.grant(0, 60, 100) and not budget.grant(1, 11, 100) and budget.grant(1, 10, 100)
        assert budget.tokens == 100
        assert budget.report(0, 3, 2, 5) and budget.tokens == 35

    def test_late_reports_are_ignored(self) -> None:
        budget = Budget()
        assert budget.report(0, 3, 5, 10)
        assert not budget.report(0, 3, 4, 99) and not budget.report(0, 2, 9, 99) and not budget.report(0, 3, 5, 99)
        assert budget.report(0, 4, 1, 7) and budget.tokens == 7
