"""Tests of postpass.gateway.event_stream."""

from __future__ import annotations

from postpass.gateway.event_stream import EventStream


def test_events_are_returned_complete_and_runs_are_joined_only_without_a_gap() -> None:
    stream = EventStream(None)
    stream.resume()
    assert stream.feed(b"id: 1\nda") == b"" and stream.feed(b"ta: x\n\nid: 2\n") == b"id: 1\ndata: x\n\n"
    assert stream.last_id == 1 and stream.feed(b"data: id: 9\n\n") == b"id: 2\ndata: id: 9\n\n" and stream.last_id == 2
    stream.feed(b"id: 3\nda")
    stream.resume()
    assert stream.feed(b": hello\n\n") == b": hello\n\n" and stream.last_id == 2
    assert stream.feed(b"x-version: 4\nid: 3\r\ndata: x\r\n\r\n") and stream.last_id == 3
    stream.resume()
    try:
        stream.feed(b"id: 5\ndata: x\n\n")
        raise AssertionError
    except ValueError:
        pass
