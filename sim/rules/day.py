"""A day's history with the indices that the checks need."""

from __future__ import annotations

from collections import defaultdict
from functools import cached_property

from sim.rules.configurations import Configurations
from sim.rules.contact import Contact
from sim.rules.history import Event, History


class Day(History):
    """A history with indices over its events, each made when it is first asked for."""

    @cached_property
    def contact(self) -> Contact:
        """Which machines were in contact, and when."""
        return Contact(self)

    @cached_property
    def configurations(self) -> Configurations:
        """The configurations that the operator sent."""
        return Configurations(self)

    @cached_property
    def requests(self) -> dict[str, Event]:
        """Live requests by id."""
        return {event["id"]: event for event in self.of("request")}

    @cached_property
    def answers(self) -> dict[str, Event]:
        """What clients got, by the id of the request."""
        return {event["id"]: event for event in self.of("answer")}

    @cached_property
    def items(self) -> dict[str, Event]:
        """The items of jobs by id, each with its job's id, host, route and first send."""
        items: dict[str, Event] = {}
        for event in self.of("lot_sent"):
            of_job = {name: event[name] for name in ("lot", "host", "route", "t", "key") if name in event}
            for item in event["items"]:
                items.setdefault(item["id"], item | of_job)
        return items

    @cached_property
    def jobs(self) -> dict[str, Event]:
        """The first send of each job."""
        return self.first_by_job(self.of("lot_sent"))

    @cached_property
    def accepted_jobs(self) -> dict[str, Event]:
        """The first acknowledgement of each job that was accepted."""
        return self.first_by_job([event for event in self.of("lot_told") if event["status"] == 202])

    @cached_property
    def cancelled_at(self) -> dict[str, float]:
        """When it was first asked to end a job, in seconds, by job."""
        return {job: event["t"] for job, event in self.first_by_job(self.of("lot_ending")).items()}

    @staticmethod
    def first_by_job(events: list[Event]) -> dict[str, Event]:
        """The first of the events for each job."""
        first: dict[str, Event] = {}
        for event in events:
            first.setdefault(event["lot"], event)
        return first

    @cached_property
    def runs(self) -> dict[str, list[Event]]:
        """The runs of each request or item."""
        return self.by_id("ran")

    @cached_property
    def ends(self) -> dict[str, list[Event]]:
        """The ends of the runs of each request or item."""
        return self.by_id("ended")

    @cached_property
    def silences(self) -> dict[str, list[Event]]:
        """When a worker fell silent in a run, by request or item."""
        return self.by_id("silent")

    def by_id(self, kind: str) -> dict[str, list[Event]]:
        """Events of a kind by the id of their request or item."""
        events: dict[str, list[Event]] = defaultdict(list)
        for event in self.of(kind):
            events[event["id"]].append(event)
        return events

    @cached_property
    def taken(self) -> list[Event]:
        """What reached a worker and was taken to be run there."""
        return [event for event in self.of("reach") if event["status"] == 200]

    @cached_property
    def reached(self) -> set[str]:
        """The ids of all that reached a worker."""
        return {event["id"] for event in self.of("reach")}

    @cached_property
    def resumed_after(self) -> dict[str, int]:
        """Per run, after which event it was asked to go on."""
        return {str(event["run"]): event["last"] for event in self.of("ran")}
