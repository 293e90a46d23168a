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

- `disk`, `sqlite_schema`, `sqlite_reader`, `sqlite_writer`, `wal_check`, `disk_errors`: the durable log;
- `disk_writer`: the thread that writes it;
- `data_directory`, `backup`, `recovery`: operations on a member's directory while it is not running;
- `framing`, `peer_connection`, `peer_transport`: frames, and the connections between members;
- `store`, `output_dispatcher`, `status`: a running member;
- `node_bridge`, `store_marks`, `settings_applier`, `endpoint_list_writer`: its place inside a node;
- `control` and `control_…`: the control socket, its protocol and its calls;
- `client`, `cli` and `cli_…`: the calling side, and `limerudder state`.
"""
