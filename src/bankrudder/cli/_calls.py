"""Subcommands that send requests as a caller or a trainer."""

import argparse
import base64
import secrets
from collections.abc import Sequence

import msgspec

from bankrudder.cli._exit import ExitCode
from bankrudder.cli._files import read_file, read_token
from bankrudder.cli._output import Output
from bankrudder.cli._tls import credentials_of
from bankrudder.client import Answer, Caller, Trainer, TrainerSettings
from bankrudder.world import DataClassName

TRACE_ID_BYTES = 16
SPAN_ID_BYTES = 8


class _TraceNote(msgspec.Struct, frozen=True):
    """The trace ID of a call, as ``bankrudder trace`` takes it."""

    trace_id: str


class _SampleResult(msgspec.Struct, frozen=True):
    """One sample; the text is in Base64, because it may not be valid UTF-8."""

    group: int
    index: int
    versions: tuple[int, ...]
    text_base64: str


async def call(arguments: argparse.Namespace, output: Output) -> ExitCode:
    """Make one call and print the complete answer."""
    caller = Caller.from_config(
        [arguments.entry],
        read_token(arguments.token_file),
        data_class=DataClassName(arguments.data_class),
        credentials=credentials_of(arguments),
    )
    payload = read_file(arguments.payload)
    trace_id = secrets.token_hex(TRACE_ID_BYTES)
    output.note(_TraceNote(trace_id), f"trace {trace_id}")
    async with caller:
        answer = await caller.call(
            arguments.pool,
            payload,
            method=arguments.method,
            key=arguments.key,
            max_tokens=arguments.max_tokens,
            timeout_s=arguments.timeout,
            traceparent=f"00-{trace_id}-{secrets.token_hex(SPAN_ID_BYTES)}-01",
        )
    output.value(answer, _answer_lines(answer))
    return ExitCode.OK


async def step(arguments: argparse.Namespace, output: Output) -> ExitCode:
    """Run one step and print each sample when it arrives."""
    prompts = read_file(arguments.prompts).splitlines()
    trainer = Trainer.from_config(
        [arguments.entry],
        read_token(arguments.token_file),
        data_class=arguments.data_class,
        credentials=credentials_of(arguments),
        settings=TrainerSettings(patience_s=arguments.timeout),
    )
    async with trainer:
        samples = trainer.step(
            arguments.job, arguments.step, prompts, arguments.samples_per_group
        )
        async for sample in samples:
            line = _SampleResult(
                sample.slot.group,
                sample.slot.index,
                tuple(span.version for span in sample.versions),
                base64.b64encode(sample.text).decode(),
            )
            output.value(line, _sample_lines(line, sample.text))
    return ExitCode.OK


def _answer_lines(answer: Answer) -> Sequence[str]:
    lines = [answer.data.decode(errors="replace"), f"key {answer.key}"]
    if answer.endpoint:
        lines.append(f"endpoint {answer.endpoint}")
    if answer.versions:
        lines.append(f"versions {','.join(map(str, answer.versions))}")
    if answer.replayed:
        lines.append("replayed")
    return lines


def _sample_lines(line: _SampleResult, text: bytes) -> Sequence[str]:
    versions = ",".join(map(str, line.versions))
    decoded_text = text.decode(errors="replace")
    return [f"{line.group}.{line.index} versions {versions}: {decoded_text}"]
