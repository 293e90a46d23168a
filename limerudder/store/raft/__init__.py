"""The Raft consensus protocol, without I/O.

Messages, time and durability go in; messages, writes and committed entries come out. After D. Ongaro,
"Consensus: Bridging Theory and Practice" (PhD dissertation, Stanford 2014); comments cite its chapters and
sections.

- `raft` is the entry point: it routes messages and time, and changes the role. All parts share `state`.
- `election` covers timeouts and votes; `leader` a leader's duties, with `replication`, `snapshots`,
  `membership`, `reads`, and `leadership`, which tells when it ends.
- `log` is the log, `progress` what a leader knows of another member, `write_buffer` tracks durability.
- `messages`, `persistence`, `output` and `errors` define what is exchanged with members, disk and driver.
"""
