"""The laboratory: tools that drive nodes and judge them. Nothing here is loaded by a node.

- `arrivals`: who comes and when, drawn whole before a run. No I/O.
- `trace`: such arrivals as files.
- `tally`: what a run has seen: latency from the intended moment, lateness of the generator, answers. No I/O.
- `rules`: what a node keeps, checked from outside. No I/O.
- `load`: the generator, open loop, on real sockets.
- `cli`: `limerudder lab`.
"""
