"""Long measurements, each a command; results stand in docs/."""
