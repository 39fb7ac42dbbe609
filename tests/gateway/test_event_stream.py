"""Tests of postpass.gateway.event_stream."""

from __future__ import annotations

from postpass.gateway.event_stream import EventStream


def test_events_are_cut_whole_and_joined_only_right_behind() -> None:
    run = EventStream(None)
    run.resume()
    assert run.feed(b"id: 1\nda") == b"" and run.feed(b"ta: x\n\nid: 2\n") == b"id: 1\ndata: x\n\n"
    assert run.last_id == 1 and run.feed(b"data: id: 9\n\n") == b"id: 2\ndata: id: 9\n\n" and run.last_id == 2
    run.feed(b"id: 3\nda")
    run.resume()
    assert run.feed(b": hello\n\n") == b": hello\n\n" and run.last_id == 2
    assert run.feed(b"x-version: 4\nid: 3\r\ndata: x\r\n\r\n") and run.last_id == 3
    run.resume()
    try:
        run.feed(b"id: 5\ndata: x\n\n")
        raise AssertionError
    except ValueError:
        pass
