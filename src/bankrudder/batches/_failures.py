"""Errors that end a sample, or one run of it, before its text is complete."""


class SampleFailedError(Exception):
    """A sample cannot be generated, or failed as often as its route allows."""


class StaleWeightsError(Exception):
    """An engine generates with weights older than the batch allows."""
