"""Load tests: tools that drive nodes and judge them from outside. Nothing here is loaded by a node.

- `arrivals`: who arrives and when, drawn before a run. No I/O.
- `trace`: such arrivals as files.
- `latency_histogram`: latency from the intended moment, lateness of the generator, answers. No I/O.
- `rule_checker`: the rules that a node keeps. No I/O.
- `simulated_client`, `load_generator`: the generator, an open loop on real sockets.
- `cli`: the command `limerudder lab`.
"""
