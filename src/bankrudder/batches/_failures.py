"""Why a sample or a run of it ends without its text."""


class SampleFailedError(Exception):
    """A sample cannot be generated, or failed as often as it may."""


class StaleWeightsError(Exception):
    """An engine generates with weights that are too old for the batch."""
