"""The Raft consensus protocol, without I/O.

The inputs are messages, time and durability notifications; the outputs are messages, writes and committed
entries. Follows D. Ongaro, "Consensus: Bridging Theory and Practice" (PhD dissertation, Stanford 2014);
comments cite its chapters and sections.

- `raft` is the entry point: it routes messages and time, and changes the role. All parts share `state`.
- `election` covers timeouts and votes; `leader` implements the leader, with `replication`, `snapshots`,
  `membership`, `reads`, and `leadership`, which determines when leadership ends.
- `log` is the log, `progress` a leader's view of another member; `write_buffer` tracks durability.
- `messages`, `persistence`, `output` and `errors` define what is exchanged with members, disk and driver.
"""
