"""Tests of postpass.rpc.codec."""

from __future__ import annotations

from thriftpy2.thrift import TMessageType

from postpass.rpc.codec import IDL, decode_fault, encode_body, encode_fault, encode_message, is_oneway, pack, unpack
from postpass.runtime.errors import TIMED_OUT, Fault


def test_the_encoding_of_a_message() -> None:
    data = encode_message("ping", TMessageType.CALL, 7, IDL.Peer.ping_args(body=encode_body({"kept": 1})))
    head = b"\x80\x01\x00\x01" + b"\0\0\0\4ping" + b"\0\0\0\7"
    assert data == head + b"\x0b\0\1" + b"\0\0\0\x0a" + b'{"kept":1}' + b"\0"


def test_structs_are_read_as_they_were_written() -> None:
    entry = IDL.Entry(part=3, op="rec", seq=1 << 40, epoch=2, kind="t", body=b"\0\xff")
    assert unpack(IDL.Entry, pack(entry)) == entry


def test_faults_lose_only_what_the_sender_of_a_request_knows() -> None:
    fault = Fault("show", "s1", "late", TIMED_OUT, hint="later", unsent=True, unsure=True)
    assert decode_fault(unpack(IDL.Fault, pack(encode_fault(fault)))) == Fault(
        "show", "s1", "late", TIMED_OUT, hint="later"
    )


def test_only_the_stream_its_acknowledgements_and_fragments_are_oneway() -> None:
    assert [name for name in IDL.Peer.thrift_services if is_oneway(name)] == ["fragment", "carry", "ack"]
