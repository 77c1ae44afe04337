"""Tests of ``bankrudder find``, which searches the logs of several hosts."""

import json

from bankrudder.cli import ExitCode, main
from bankrudder.cli._logs import lines_about

LINES = [
    {"timestamp": "3", "event": "batches: sample done", "batch": "b1", "sample": "s1"},
    {"timestamp": "1", "event": "batches: accepted", "batch": "b1"},
    {
        "timestamp": "2",
        "event": "batches: run broken off",
        "batch": "b1",
        "sample": "s2",
    },
    {"timestamp": "2", "event": "relay: answered", "request": "q1"},
    {"timestamp": "4", "event": "batches: accepted", "batch": "b2"},
    {
        "timestamp": "5",
        "event": "relay: attempt failed",
        "request": "q2",
        "content": "c",
    },
    {"timestamp": "6", "event": "crashes: endpoint gave no answer", "content": "c"},
    {
        "timestamp": "7",
        "event": "relay: attempt failed",
        "request": "q3",
        "content": "c",
    },
]


def timestamps_about(searched_id):
    return [line["timestamp"] for line in lines_about(searched_id, LINES)]


def test_a_sample_is_shown_with_its_batch_but_without_other_samples():
    assert timestamps_about("s1") == ["1", "3"]


def test_a_batch_is_shown_with_all_its_samples():
    assert timestamps_about("b1") == ["1", "2", "3"]


def test_a_request_is_shown_alone():
    assert timestamps_about("q1") == ["2"]


def test_a_request_is_shown_with_lines_about_its_content():
    assert timestamps_about("q2") == ["5", "6"]


def test_a_content_is_shown_with_all_its_attempts():
    assert timestamps_about("c") == ["5", "6", "7"]


def test_logs_of_hosts_are_merged_and_other_lines_are_skipped(tmp_path, capsys):
    first = tmp_path / "a.log"
    first.write_text(f"12.5 host-a {json.dumps(LINES[0])}\nTraceback\n{{cut")
    second = tmp_path / "b.log"
    second.write_text(json.dumps(LINES[1]))
    assert main(["find", "b1", str(first), str(second)]) == ExitCode.OK
    shown = capsys.readouterr().out.splitlines()
    assert [line.split()[0] for line in shown] == ["1", "3"]


def test_find_fails_if_no_line_has_the_id(tmp_path):
    log = tmp_path / "a.log"
    log.write_text("")
    assert main(["find", "none", str(log)]) == ExitCode.FAILED
