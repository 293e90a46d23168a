"""The replicated store of settings, drained hosts, maintenance holds and the last endpoint list.

The deterministic modules do no I/O and read no clock, so that whole clusters can be simulated from a seed:

- `raft`: the consensus protocol;
- `commands`, `sessions`, `state_machine`, `snapshots`: the versioned key-value state machine;
- `drain_log`, `drain_replication`, `persisted_values`: facts about hosts, recorded even without a quorum;
- `client_calls`, `leader_requests`, `membership_requests`, `rpc`: client requests and their replies;
- `log_applier`, `durability`, `durability_scheduler`: applying committed entries and making changes durable;
- `peer_authentication`, `key_schema`, `limits`: validation of peers and writes;
- `member`: one member of the cluster, composed of the modules above.

The other modules do the I/O:

- `disk`, `sqlite_schema`, `sqlite_reader`, `sqlite_writer`, `wal_check`, `disk_errors`: the durable log;
- `disk_writer`: the thread that writes it;
- `data_directory`, `backup`, `recovery`: operations on a member's directory while it is not running;
- `framing`, `peer_connection`, `peer_transport`: frames, and the connections between members;
- `store`, `output_dispatcher`, `status`: a running member;
- `node_bridge`, `store_marks`, `settings_applier`, `endpoint_list_writer`: integration into a node;
- `control` and `control_…`: the control socket with its protocol and calls;
- `client`, `cli` and `cli_…`: the client of the control socket, and `limerudder state`.
"""
