"""The replicated store: a few nodes agree on configuration, hosts held out, drains and the last list.

- `raft`: the consensus machine. No I/O, no clock.
- `records`: what is agreed on, a versioned key space. No I/O, no clock.
- `member`: one member of the cluster: both of these, its clients and its ledger. No I/O, no clock.
- `disk`: the durable log and snapshots.
- `wire`, `transport`: frames, and the connections that carry them.
- `glue`: the store inside a node.
- `cli`: `limerudder state`.
"""
