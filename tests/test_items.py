"""Events of runs, joined to a text."""

import pytest

from postpass.dialect import Dialect
from postpass.fault import Stop
from postpass.items import Events, Text, request_headers


def event(n: int, data: str) -> bytes:
    return f"id: {n}\ndata: {data}\n\n".encode()


class Test_Events:
    @pytest.mark.parametrize("size", [1, 3, 7, 1000])
    def test_a_text_is_the_data_of_all_events_whatever_the_chunks(self, size: int) -> None:
        text = Text()
        events = Events(text)
        run = b"x-weight-versions: 3\n" + event(0, "one") + event(1, "") + b"id: 2\r\ndata: tw\xc3\xb6\r\n\r\n"
        for i in range(0, len(run), size):
            events.feed(run[i : i + size])
        assert (text.text, text.last, events.whole) == ("one\n\ntwö", 2, True)

    def test_a_run_goes_on_only_where_the_one_before_it_was_cut(self) -> None:
        text = Text()
        Events(text).feed(event(1, "a") + event(2, "b") + b"id: 3\ndata: c")
        assert (text.text, text.last) == ("a\nb", 2)
        for wrong in (event(2, "b"), event(4, "d"), event(1, "a"), b"data: x\n\n", b"id: x\n"):
            with pytest.raises(Stop):
                Events(text).feed(wrong)
        Events(text).feed(event(3, "c"))
        assert (text.text, text.last) == ("a\nb\nc", 3)

    def test_a_run_that_begins_late_or_ends_within_an_event_is_not_whole(self) -> None:
        with pytest.raises(Stop):
            Events(Text()).feed(event(2, "b"))
        events = Events(Text())
        events.feed(event(0, "a") + b"id: 1\ndata: b\n")
        assert not events.whole


class Test_headers_of_an_item:
    def test_its_own_come_first_and_none_is_set_twice(self) -> None:
        call = {
            "id": "i1",
            "body": "q83v",
            "headers": {"X-Model": "m", "X-Urgency": "0", "Host": "other", "X-Call-Id": "j"},
        }
        heads = request_headers(Dialect(), call, "h.example", "w1", 5000, 12)
        names = [k for k, _ in heads]
        assert len(names) == len(set(names)) and dict(heads) == {
            b"host": b"h.example", b"x-call-id": b"i1", b"x-deadline-ms": b"5000", b"x-want-worker": b"w1",
            b"content-length": b"3", b"X-Model": b"m", b"last-event-id": b"12", b"x-urgency": b"9",
        }  # fmt: skip
