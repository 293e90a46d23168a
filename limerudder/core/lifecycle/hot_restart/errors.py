"""The error of lines that cannot be read."""


class HandoverFormatError(ValueError):
    """A line of the other process is malformed; it may be of another release."""
