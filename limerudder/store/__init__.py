"""The replicated store: a few nodes agree on settings, drained and held hosts, and the last endpoint list.

The deterministic half does no I/O and reads no clock, so that whole clusters can be simulated from a seed:

- `raft`: the consensus protocol;
- `commands`, `sessions`, `state_machine`, `snapshots`: the versioned key-value state that the log builds;
- `drain_log`, `drain_replication`, `known_values`: facts about hosts, kept without a quorum too;
- `client_calls`, `leader_requests`, `membership_requests`, `rpc`: requests of clients and their replies;
- `log_applier`, `durability`, `durability_scheduler`: what a member applies and what it makes durable;
- `peer_authentication`, `key_schema`, `limits`: what a member accepts;
- `member`: one member of the cluster, which wires all of these together.

The other half does the I/O:

- `disk`, `data_directory`: the durable log and snapshots, and operations on a member's directory;
- `framing`, `peer_transport`: frames, and the connections between members;
- `store`, `node_bridge`: a running member, and its place inside a node;
- `control`, `client`, `cli`: the control socket, and `limerudder state`.
"""
