"""Test harness: simulated clusters, stand-in processes and fault injection. Not part of the release."""
