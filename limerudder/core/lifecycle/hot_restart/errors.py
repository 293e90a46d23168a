"""The error raised for malformed lines."""


class HandoverFormatError(ValueError):
    """A line from the other process is malformed; that process may run another release."""
