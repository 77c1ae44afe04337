"""Heads of answers by RFC 9110 and RFC 9112: what is one, and what is none."""

import string

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bankrudder.platform._answer_heads import (
    MAX_FIELD_COUNT,
    MAX_LINE_BYTES,
    AnswerHead,
    MalformedHeadError,
    may_begin_head,
)

STATUS_LINE = b"HTTP/1.1 200 OK"
TOKEN_BYTES = (string.ascii_letters + string.digits + "!#$%&'*+-.^_`|~").encode()
CONTROL_BYTES = bytes({*range(32), 127} - {9, 10})


def read(data, *, is_bodiless=False):
    """Return the encoded head, and what follows it."""
    head = AnswerHead(is_bodiless=is_bodiless)
    while True:
        line, separator, data = data.partition(b"\n")
        assert separator, "the head is not complete"
        if head.add(line):
            return head.encode(), data


def head_of(*lines):
    return b"".join(line + b"\r\n" for line in [*lines, b""])


def is_head(*lines, is_bodiless=False):
    try:
        read(head_of(*lines), is_bodiless=is_bodiless)
    except MalformedHeadError:
        return False
    return True


def test_a_status_has_a_class():
    """101 has no answer: no other protocol is ever asked for."""
    found = {each for each in range(1000) if is_head(b"HTTP/1.1 %03d Status" % each)}
    assert found == {*range(100, 600)} - {101}


@pytest.mark.parametrize(
    "line",
    [
        b"HTTP/1.1 200",
        b"HTTP/1.1 200 ",
        b"HTTP/1.0 200 OK",
        b"HTTP/1.2 200 OK",
        b"HTTP/1.1 200 \xc3\xa9\xff\t~",
    ],
)
def test_a_sound_status_line(line):
    assert is_head(line)


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b" HTTP/1.1 200 OK",
        b"\tHTTP/1.1 200 OK",
        b"HTTP/1.1",
        b"HTTP/1.1 ",
        b"HTTP/1.1 20 OK",
        b"HTTP/1.1 2000 OK",
        b"HTTP/1.1 -20 OK",
        b"HTTP/1.1 200OK",
        b"HTTP/1.1  200 OK",
        b"HTTP/1.1\t200 OK",
        b"HTTP/1.1 200 O\x01K",
        b"HTTP/1.1 200 O\rK",
        b"HTTP/11 200 OK",
        b"HTTP/0.9 200 OK",
        b"HTTP/2.0 200 OK",
        b"http/1.1 200 OK",
        b"RTSP/1.0 200 OK",
        b"ICY 200 OK",
        b"HTTP/1.1 \xd9\xa2\xd9\xa0\xd9\xa0 OK",
    ],
)
def test_what_is_no_status_line(line):
    assert not is_head(line)


def test_each_byte_in_the_name_of_a_field():
    others = {*range(256)} - {*b"\n:"}  # these end the line, or the name
    found = {each for each in others if is_head(STATUS_LINE, b"X%cA: b" % each)}
    assert found == {*TOKEN_BYTES}


def test_each_byte_in_the_value_of_a_field():
    others = {*range(256)} - {*b"\n"}
    found = {each for each in others if is_head(STATUS_LINE, b"X-A: a%cb" % each)}
    assert found == others - {*CONTROL_BYTES}


@pytest.mark.parametrize(
    "line",
    [
        b"X-A : b",
        b"X-A\t: b",
        b": b",
        b"X-A",
        b"X A: b",
        b"Content-Length : 5",
        b"Transfer-Encoding : chunked",
        b" X-A: b",
        b"\tX-A: b",
    ],
)
def test_what_is_no_field(line):
    assert not is_head(STATUS_LINE, line)


def test_a_folded_value_is_joined():
    head, rest = read(head_of(STATUS_LINE, b"X-A: a", b" \tb", b"\tc  ") + b"body")
    assert head == head_of(STATUS_LINE, b"X-A: a b c")
    assert rest == b"body"


def test_a_folded_value_has_no_control_bytes():
    assert not is_head(STATUS_LINE, b"X-A: a", b" \x01")


def test_lines_may_end_with_a_line_feed_only():
    head, rest = read(b"HTTP/1.1 200 OK\nX-A: b\n\nbody")
    assert head == head_of(STATUS_LINE, b"X-A: b")
    assert rest == b"body"


def test_a_later_minor_version_is_read_as_the_latest_known_one():
    head, _ = read(head_of(b"HTTP/1.7 200 OK"))
    assert head == head_of(STATUS_LINE)


@pytest.mark.parametrize(
    "fields",
    [
        [],
        [b"Content-Length: 4"],
        [b"content-length:4"],
        [b"Content-Length: \t004 \t"],
        [b"Transfer-Encoding: chunked"],
        [b"transfer-encoding: CHUNKED"],
        [b"Transfer-Encoding:", b" chunked"],
    ],
)
def test_sound_framing(fields):
    assert is_head(STATUS_LINE, *fields)


UNSOUND_FRAMING = [
    [b"Content-Length: 4", b"Transfer-Encoding: chunked"],
    [b"Transfer-Encoding: chunked", b"content-length: 4"],
    [b"Transfer-Encoding: chunked", b"Transfer-Encoding: chunked"],
    [b"Transfer-Encoding: chunked, chunked"],
    [b"Transfer-Encoding: gzip, chunked"],
    [b"Transfer-Encoding: gzip"],
    [b"Transfer-Encoding: chunked, gzip"],
    [b"Transfer-Encoding: identity"],
    [b"Transfer-Encoding: xchunked"],
    [b"Transfer-Encoding: chunked;a=b"],
    [b"Transfer-Encoding:"],
    [b"Content-Length:"],
    [b"Content-Length: +4"],
    [b"Content-Length: -4"],
    [b"Content-Length: 0x4"],
    [b"Content-Length: 4.0"],
    [b"Content-Length: 4 4"],
    [b"Content-Length: 4", b"Content-Length: 3"],
    [b"Content-Length: 4, 3"],
    [b"Content-Length: \xd9\xa4"],
    [b"Content-Length: 18446744073709551615"],
    [b"Content-Length: " + 5000 * b"9"],
]


@pytest.mark.parametrize("fields", UNSOUND_FRAMING)
def test_unsound_framing(fields):
    assert not is_head(STATUS_LINE, *fields)


@pytest.mark.parametrize("fields", UNSOUND_FRAMING)
def test_framing_does_not_matter_without_a_body(fields):
    assert is_head(STATUS_LINE, *fields, is_bodiless=True)
    for status in (100, 103, 204, 304):
        line = b"HTTP/1.1 %d Status" % status
        head, _ = read(head_of(line, *fields, b"X-A: b"))
        assert head == head_of(line, b"X-A: b")


def test_http_1_0_has_no_transfer_codings():
    assert not is_head(b"HTTP/1.0 200 OK", b"Transfer-Encoding: chunked")
    assert is_head(b"HTTP/1.0 200 OK", b"Content-Length: 4")


def test_a_head_has_only_so_many_fields():
    fields = [b"X-A: %d" % number for number in range(MAX_FIELD_COUNT + 1)]
    assert is_head(STATUS_LINE, *fields[:-1])
    assert not is_head(STATUS_LINE, *fields)


@pytest.mark.parametrize("begin", [b"HTTP/1.1 200 ", b"X-A: "])
def test_a_line_has_only_so_many_bytes(begin):
    def lines(count):
        long_line = begin + (count - len(begin)) * b"a"
        return [long_line] if begin.startswith(b"HTTP") else [STATUS_LINE, long_line]

    assert is_head(*lines(MAX_LINE_BYTES))
    assert not is_head(*lines(MAX_LINE_BYTES + 1))


def test_so_has_a_folded_line():
    """Guards against a value that is copied for each of thousands of parts."""
    head = AnswerHead()
    head.add(STATUS_LINE)
    head.add(b"X-A: a")
    with pytest.raises(MalformedHeadError):
        for _ in range(MAX_LINE_BYTES):
            head.add(b" a")


@given(st.binary(max_size=12))
def test_a_first_line_in_part_is_judged_as_the_whole_line(data):
    line = b"HTTP/1.1 200 OK"
    assert all(may_begin_head(line[:count]) for count in range(len(line)))
    if not may_begin_head(data):
        assert not is_head(data + line)


@given(st.lists(st.binary(max_size=20), max_size=5))
def test_an_encoded_head_is_a_head_and_stays_as_it_is(lines):
    """Guards against a head that two parsers read in different ways."""
    data = head_of(STATUS_LINE, *lines)
    try:
        encoded, _ = read(data)
    except MalformedHeadError:
        return
    assert read(encoded) == (encoded, b"")
