"""Answers byte by byte: what is none, and what is one though few servers send it.

``%s`` stands for the identifier of the request.
"""

PROOF = b"X-Request-Id: %s\r\nX-Response-Stamp: stamp\r\n"
LENGTH = b"Content-Length: 4\r\n"
NOT_RUN = b"X-Not-Executed: 1\r\n"
EVENT = b"id: 0\ndata: a\n\n"


def answer(fields=LENGTH, *, line=b"HTTP/1.1 200 OK", body=b"body"):
    """Return an answer with a proof and the given parts."""
    return line + b"\r\n" + PROOF + fields + b"\r\n" + body


BROKEN = {
    "status_000": answer(line=b"HTTP/1.1 000 Status"),
    "status_000_not_run": answer(NOT_RUN + LENGTH, line=b"HTTP/1.1 000 Status"),
    "status_001": answer(line=b"HTTP/1.1 001 Status"),
    "status_099": answer(line=b"HTTP/1.1 099 Status"),
    "status_600": answer(line=b"HTTP/1.1 600 Status"),
    "status_999_not_run": answer(NOT_RUN + LENGTH, line=b"HTTP/1.1 999 Status"),
    "switching_protocols": answer(
        b"Connection: upgrade\r\nUpgrade: x\r\n", line=b"HTTP/1.1 101 Status", body=b""
    ),
    "blank_in_a_name": answer(b"X A: b\r\n" + LENGTH),
    "control_byte_in_a_name": answer(b"X\x01A: b\r\n" + LENGTH),
    "blank_before_the_colon": answer(b"Content-Length : 4\r\n"),
    "blank_before_the_colon_of_a_coding": answer(
        b"Transfer-Encoding : chunked\r\n", body=b"4\r\nbody\r\n0\r\n\r\n"
    ),
    "control_byte_in_a_value": answer(b"X-A: \x01\r\n" + LENGTH),
    "vertical_tab_in_a_value": answer(b"X-A: \x0b\r\n" + LENGTH),
    "delete_in_a_value": answer(b"X-A: \x7f\r\n" + LENGTH),
    "control_byte_in_the_reason": answer(line=b"HTTP/1.1 200 O\x01K"),
    "blank_first_line": b"\r\n" + answer(),
    "blank_before_the_first_line": b" " + answer(),
    "blank_before_the_first_field": b"HTTP/1.1 200 OK\r\n X: b\r\n" + PROOF + b"\r\n",
    "another_version": answer(line=b"HTTP/2.0 200 OK"),
    "another_protocol": answer(line=b"RTSP/1.0 200 OK"),
    "two_lengths": answer(LENGTH + b"Content-Length: 3\r\n"),
    "a_length_beyond_all": answer(b"Content-Length: 18446744073709551615\r\n"),
    "a_length_and_a_coding": answer(
        LENGTH + b"Transfer-Encoding: chunked\r\n", body=b"4\r\nbody\r\n0\r\n\r\n"
    ),
    "an_unknown_coding": answer(b"Transfer-Encoding: gzip\r\n"),
    "two_codings": answer(
        b"Transfer-Encoding: gzip, chunked\r\n", body=b"4\r\nbody\r\n0\r\n\r\n"
    ),
    "a_coding_of_http_1_0": answer(
        b"Transfer-Encoding: chunked\r\n",
        line=b"HTTP/1.0 200 OK",
        body=b"4\r\nbody\r\n0\r\n\r\n",
    ),
    "a_broken_interim_answer": b"HTTP/1.1 100 Continue\r\nX A: b\r\n\r\n" + answer(),
    "an_interim_answer_only": b"HTTP/1.1 103 Early Hints\r\n\r\n",
    "a_size_of_a_chunk_that_is_none": answer(
        b"Transfer-Encoding: chunked\r\n", body=b"x\r\nbody\r\n0\r\n\r\n"
    ),
    "a_chunk_that_is_too_long": answer(
        b"Transfer-Encoding: chunked\r\n", body=b"3\r\nbody\r\n0\r\n\r\n"
    ),
    "no_last_chunk": answer(b"Transfer-Encoding: chunked\r\n", body=b"4\r\nbody\r\n"),
    "a_body_that_is_too_short": answer(b"Content-Length: 5\r\n"),
}


def odd_answers(body):
    """Return sound answers of a status 200 that few servers send."""
    length = b"Content-Length: %d\r\n" % len(body)
    plain = answer(length, body=body)
    first, rest = body[:2], body[2:]
    chunks = b'2;a=b;c="d e"\r\n%b\r\n%x\r\n%b\r\n0;d\r\nX-Trailer: a\r\n\r\n'
    return {
        "no_reason": answer(length, line=b"HTTP/1.1 200", body=body),
        "reason_over_127": answer(length, line=b"HTTP/1.1 200 \xc3\xa9\xff", body=body),
        "to_the_close": answer(b"", body=body),
        "http_1_0": answer(length, line=b"HTTP/1.0 200 OK", body=body),
        "http_1_2": answer(length, line=b"HTTP/1.2 200 OK", body=body),
        "line_feeds_only": answer(length, body=b"").replace(b"\r\n", b"\n") + body,
        "chunks": answer(
            b"Transfer-Encoding: chunked\r\n", body=chunks % (first, len(rest), rest)
        ),
        "interim_answers": b"HTTP/1.1 100 Continue\r\n\r\n"
        b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
        b"HTTP/1.1 199 Other\r\nContent-Length: 5\r\n\r\n" + plain,
        "an_offer_of_another_protocol": answer(
            b"Connection: upgrade\r\nUpgrade: h2c\r\n" + length, body=body
        ),
        "bytes_over_127": answer(
            "X-A: é\r\n".encode() + b"X-B: a\xff\tb\r\n" + length, body=body
        ),
        "names": answer(b"!#$%&'*+-.^_`|~9aZ: b\r\n" + length, body=body),
        "folded": answer(b"X-A: a\r\n b\r\n" + length, body=body),
        "empty_value": answer(b"X-A:\r\n" + length, body=body),
    }
