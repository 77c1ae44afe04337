"""Tests of the command against a gRPC server that answers like a node."""

import json
import socket
import threading
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import grpc
import pytest

from bankrudder.cli import ExitCode, build_parser, main
from bankrudder.client import Trainer
from bankrudder.config import published_schema
from bankrudder.node import NodeSettings
from bankrudder.v1 import bankrudder_pb2 as pb
from bankrudder.v1 import bankrudder_pb2_grpc as pb_grpc
from bankrudder.world import Configuration

ROOT = Path(__file__).parents[2]
TASMAN = str(ROOT / "examples" / "tasman.json")
TRACE_ID = "a1" * 16
REFUSED_POOL = "moon"


def refuse(context, failure):
    """End a request with a failure, in the format of a node."""
    trailer = (("bankrudder-failure-bin", failure.SerializeToString()),)
    context.set_trailing_metadata(trailer)
    context.abort(grpc.StatusCode.INVALID_ARGUMENT, "refused")


class FakeCalls(pb_grpc.CallsServicer):
    """Answers calls with their payload; refuses calls to `REFUSED_POOL`."""

    def __init__(self):
        self.traceparents = []

    def Call(self, request, context):  # noqa: N802
        metadata = dict(context.invocation_metadata())
        self.traceparents.append(metadata.get("traceparent", "none-none"))
        if request.pool == REFUSED_POOL:
            failure = pb.Failure(kind=pb.FAILURE_KIND_INVALID, reason="unknown_pool")
            refuse(context, failure)
        chunk = pb.AnswerChunk(offset=0, data=request.payload)
        yield pb.CallEvent(chunk=chunk)
        end = pb.AnswerEnd(length=len(chunk.data), versions=[4], endpoint="quotes-1")
        yield pb.CallEvent(end=end)


class FakeTrainers(pb_grpc.TrainersServicer):
    """Answers each step with one sample."""

    def OpenStep(self, request, context):  # noqa: N802
        span = pb.VersionSpan(version=4, events=2)
        text = request.groups[0].prompt
        slot = pb.SampleSlot()
        sample = pb.Sample(slot=slot, text=text, versions=[span])
        yield pb.StepEvent(sample=sample)
        yield pb.StepEvent(end=pb.StepEnd(delivered=1))

    def Ack(self, request, context):  # noqa: N802
        return pb.AckReply()


class FakeNode(pb_grpc.OperatorsServicer):
    """A node with revision 7 that answers applies from a list of replies."""

    def __init__(self):
        self.applied = []
        self.apply_replies = []
        self.token = ""
        self.drained = threading.Event()

    def Usage(self, request, context):  # noqa: N802
        window = pb.UsageWindow(
            window=7, state="reported", counts={"north": 3, "desk": 1}
        )
        missing = pb.UsageWindow(window=8, state="missing")
        return pb.UsageReply(windows=[window, missing])

    def Apply(self, request, context):  # noqa: N802
        self.token = dict(context.invocation_metadata())["authorization"]
        self.applied.append(request)
        reply = self.apply_replies.pop(0)
        if isinstance(reply, pb.Failure):
            refuse(context, reply)
        return reply

    def GetConfiguration(self, request, context):  # noqa: N802
        document = Path(TASMAN).read_text()
        return pb.GetConfigurationReply(revision=7, configuration=document)

    def Status(self, request, context):  # noqa: N802
        node = pb.NodeStatus(host="entry-1", data_centre="cargo", revision=7)
        if not request.all_hosts:
            return pb.StatusReply(nodes=[node])
        gone = pb.NodeStatus(host="entry-2", unreachable="its heartbeats stopped")
        return pb.StatusReply(nodes=[node, gone])

    def Drain(self, request, context):  # noqa: N802
        self.drained.set()
        return pb.DrainReply()

    def Trace(self, request, context):  # noqa: N802
        known = request.trace_id == TRACE_ID
        return pb.TraceReply(spans=['{"name":"call"}'] if known else [])


@pytest.fixture
def node():
    return FakeNode()


@pytest.fixture
def run(node, tmp_path):
    """Run the command against the node; return its exit code."""
    server = grpc.server(ThreadPoolExecutor(2))
    pb_grpc.add_OperatorsServicer_to_server(node, server)
    calls = FakeCalls()
    pb_grpc.add_CallsServicer_to_server(calls, server)
    pb_grpc.add_TrainersServicer_to_server(FakeTrainers(), server)
    address = f"127.0.0.1:{server.add_insecure_port('127.0.0.1:0')}"
    server.start()
    token = tmp_path / "token"
    token.write_text("secret\n")

    def run(command, *arguments):
        entry = [address] if command == "drain" else ["--entry", address]
        return main([command, *arguments, *entry, "--token-file", str(token)])

    run.traceparents = calls.traceparents
    yield run
    server.stop(None).wait()


def accepted(revision):
    return pb.ApplyReply(revision=revision, accepted=True)


def pending(revision):
    return pb.ApplyReply(revision=revision, pending_hosts=["entry-2"])


def test_check_reports_a_valid_file(capsys):
    assert main(["check", TASMAN]) == ExitCode.OK
    node_file = str(ROOT / "examples" / "node.json")
    assert main(["check", "--settings", node_file]) == ExitCode.OK
    assert capsys.readouterr().out.count("is valid") == 2


def test_check_names_the_invalid_field(tmp_path, capsys):
    file = tmp_path / "wrong.json"
    file.write_text('{"jobs": 3}')
    assert main(["check", "--json", str(file)]) == ExitCode.WRONG_INPUT
    assert json.loads(capsys.readouterr().err)["field"] == "jobs"
    assert main(["check", str(tmp_path / "absent.json")]) == ExitCode.WRONG_INPUT


def test_apply_uses_the_newest_revision_as_its_base(node, run, capsys):
    node.apply_replies = [accepted(8)]
    assert run("apply", TASMAN) == ExitCode.OK
    assert (node.applied[0].base_revision, node.token) == (7, "Bearer secret")
    assert "revision 8 accepted" in capsys.readouterr().out


def test_apply_waits_until_it_is_accepted(node, run, monkeypatch):
    monkeypatch.setattr("bankrudder.cli._commands.POLL_INTERVAL_S", 0.0)
    node.apply_replies = [pending(6), pending(6), accepted(6)]
    code = run("apply", TASMAN, "--base-revision", "5", "--wait", "60")
    assert code == ExitCode.OK
    assert [request.base_revision for request in node.applied] == [5, 5, 5]


def test_apply_that_is_not_accepted_names_the_pending_hosts(node, run, capsys):
    node.apply_replies = [pending(8)]
    assert run("apply", TASMAN, "--json") == ExitCode.NOT_ACCEPTED_YET
    assert json.loads(capsys.readouterr().out)["pending_hosts"] == ["entry-2"]


def test_apply_to_an_outdated_base_revision_is_a_conflict(node, run, capsys):
    node.apply_replies = [
        pb.Failure(
            kind=pb.FAILURE_KIND_INVALID,
            reason="revision_conflict",
            detail="the newest revision is 9",
        )
    ]
    assert run("apply", TASMAN) == ExitCode.CONFLICT
    assert "the newest revision is 9" in capsys.readouterr().err


def test_an_invalid_file_is_not_sent(node, run, tmp_path):
    file = tmp_path / "wrong.json"
    file.write_text("{}")
    assert run("apply", str(file)) == ExitCode.WRONG_INPUT
    assert not node.applied


def test_get_writes_the_document_and_waits_for_a_revision(run, tmp_path):
    file = tmp_path / "now.json"
    assert run("get", "--output", str(file)) == ExitCode.OK
    assert file.read_text() == Path(TASMAN).read_text()
    assert run("get", "--revision", "8") == ExitCode.NOT_ACCEPTED_YET


def test_diff_shows_what_would_change(run, tmp_path, capsys):
    document = json.loads(Path(TASMAN).read_text())
    document["jobs"][0]["max_staleness"] = 3
    del document["pools"][1]
    file = tmp_path / "new.json"
    file.write_text(json.dumps(document))
    assert run("diff", str(file)) == ExitCode.OK
    lines = capsys.readouterr().out.splitlines()
    assert lines[:2] == ["against revision 7", "- pools pre-order"]
    assert (len(lines), '"max_staleness":3' in lines[2]) == (3, True)


def test_status_fails_if_a_host_is_unreachable(run, capsys):
    assert run("status", "--endpoints") == ExitCode.OK
    assert run("status", "--all") == ExitCode.FAILED
    assert "its heartbeats stopped" in capsys.readouterr().out


def test_usage_is_shown_by_window_and_workspace(run, capsys):
    assert run("usage", "--windows", "2") == ExitCode.OK
    lines = [line.split() for line in capsys.readouterr().out.splitlines()]
    assert lines == [
        ["WINDOW", "STATE", "WORKSPACE", "REQUESTS"],
        ["7", "reported", "desk", "1"],
        ["7", "reported", "north", "3"],
        ["8", "missing", "0"],
    ]
    assert run("usage", "--json") == ExitCode.OK
    first, _ = json.loads(capsys.readouterr().out)
    assert first["counts"] == {"north": 3, "desk": 1}


def test_drain_and_trace_reach_the_node(node, run):
    assert run("drain") == ExitCode.OK
    assert node.drained.is_set()
    assert run("trace", TRACE_ID) == ExitCode.OK
    assert run("trace", "b2" * 16, "--json") == ExitCode.FAILED


def test_a_trace_without_spans_and_an_invalid_id_have_different_errors(run, capsys):
    run("trace", "b2" * 16)
    assert "no host holds" in capsys.readouterr().err
    assert run("trace", "zz") == ExitCode.WRONG_INPUT
    assert "32 lower-case hexadecimal" in capsys.readouterr().err


def test_without_a_connection_the_failure_is_not_run(tmp_path, capsys, monkeypatch):
    monkeypatch.setattr("bankrudder.client._operator.CONNECT_TIMEOUT_S", 0.2)
    token = tmp_path / "token"
    token.write_text("secret")
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{unused.getsockname()[1]}"
        connection_options = ["--entry", address, "--token-file", str(token)]
        assert main(["get", *connection_options]) == ExitCode.FAILED
        code = main(["apply", TASMAN, "--base-revision", "7", *connection_options])
        assert code == ExitCode.FAILED
        assert capsys.readouterr().err.count("not_run: node_unreachable") == 2


def test_a_call_prints_the_complete_answer(run, tmp_path, capsys):
    payload = tmp_path / "payload"
    payload.write_text("a lease of a press")
    code = run("call", "quotes", "--payload", str(payload), "--data-class", "lease")
    assert code == ExitCode.OK
    lines = capsys.readouterr().out.splitlines()
    assert (lines[0], lines[-1]) == ("a lease of a press", "versions 4")


@pytest.mark.parametrize("pool", ["quotes", REFUSED_POOL])
def test_a_call_prints_its_trace_id(run, tmp_path, capsys, pool):
    payload = tmp_path / "payload"
    payload.write_bytes(b"p")
    run("call", pool, "--payload", str(payload))
    trace_id = capsys.readouterr().err.split()[1]
    assert [parent.split("-")[1] for parent in run.traceparents] == [trace_id]


def test_a_step_prints_each_sample(run, tmp_path, capsys):
    prompts = tmp_path / "prompts"
    prompts.write_text("risk of a press\n")
    assert run("step", "wording", "--step", "1", "--prompts", str(prompts)) == 0
    assert "0.0 versions 4: risk of a press" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("options", "patience_s"), [([], 600.0), (["--timeout", "7"], 7.0)]
)
def test_a_step_waits_for_samples_as_long_as_it_is_told(
    run, tmp_path, monkeypatch, options, patience_s
):
    prompts = tmp_path / "prompts"
    prompts.write_text("risk of a press\n")
    made = []
    from_config = Trainer.from_config

    def record(*arguments, settings=None, **rest):
        made.append(settings)
        return from_config(*arguments, settings=settings, **rest)

    monkeypatch.setattr(Trainer, "from_config", record)
    run("step", "wording", "--step", "1", "--prompts", str(prompts), *options)
    assert [each.patience_s for each in made] == [patience_s]


def test_a_broken_reply_to_a_change_is_outcome_unknown(run, capsys):
    assert run("apply", TASMAN) == ExitCode.FAILED
    assert "outcome_unknown" in capsys.readouterr().err


@pytest.mark.parametrize(
    "arguments",
    [
        [],
        ["get", "--entry", "node.example:7000"],
        ["apply", TASMAN, "--entry", "127.0.0.1:1", "--base-revision", "-1"],
        ["get", "--entry", "127.0.0.1:1", "--wait", "soon"],
        ["schema", "poem"],
    ],
)
def test_invalid_arguments_exit_with_2(arguments, capsys):
    with pytest.raises(SystemExit) as raised:
        main(arguments)
    assert raised.value.code == ExitCode.WRONG_INPUT
    assert "usage: bankrudder" in capsys.readouterr().err


def test_a_token_is_required(capsys):
    code = main(["get", "--entry", "127.0.0.1:1"])
    assert code == ExitCode.WRONG_INPUT
    assert "--token-file" in capsys.readouterr().err


def test_the_help_has_examples_and_exit_codes():
    text = build_parser().format_help()
    assert "examples:" in text
    assert all(f"  {code.value}  " in text for code in ExitCode)


@pytest.mark.parametrize(
    ("name", "kind", "file"),
    [
        ("configuration", Configuration, "configuration.json"),
        ("settings", NodeSettings, "node-settings.json"),
    ],
)
def test_the_published_schemas_are_up_to_date(name, kind, file, capsysbinary):
    assert main(["schema", name]) == ExitCode.OK
    published = (ROOT / "docs" / "schema" / file).read_bytes()
    assert capsysbinary.readouterr().out == published == published_schema(kind)


@pytest.mark.parametrize(
    "options",
    [
        ["--ca", "ca.pem", "--certificate", "x.pem"],
        ["--ca", "ca.pem", "--key-file", "x.key"],
        ["--certificate", "x.pem", "--key-file", "x.key"],
        ["--ca", "missing.pem"],
    ],
)
def test_invalid_tls_options_are_wrong_input(options, tmp_path):
    token = tmp_path / "token"
    token.write_text("t")
    entry = ["--entry", "127.0.0.1:1", "--token-file", str(token)]
    assert main(["status", *entry, *options]) == ExitCode.WRONG_INPUT
