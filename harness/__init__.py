"""The project's own rigs: simulated clusters, stand-ins and planted faults. Not part of what is shipped."""
