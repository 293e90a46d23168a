"""Load tests: tools that generate load and check nodes from outside. Nodes do not load this package.

- `arrivals`: plans of client arrivals, drawn before a run. No I/O.
- `trace`: files of arrivals.
- `latency_histogram`: latencies, the lateness of the generator, counts of answers. No I/O.
- `rule_checker`: checks the rules that a node must satisfy. No I/O.
- `simulated_client`, `load_generator`: the load generator, an open loop on real sockets.
- `cli`: the command `limerudder lab`.
"""
