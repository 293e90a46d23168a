"""The operator's file: its schema in CUE, and the frozen objects that it is converted to.

Everything in it is optional: an empty file has the same effect as no file.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from limerudder.core.transport import Address, parse_address
from limerudder.cue.load import load

SCHEMA = r"""// What may stand in the operator's file, by default limerudder.cue.
// Durations: us, ms, s, m, h. Sizes: B, KB, MB, GB, KiB, MiB, GiB.

#Address: string & =~"^[0-9]+[.][0-9]+[.][0-9]+[.][0-9]+:[0-9]+$"   // IPv4 address and port: there is no DNS
#Name:    string & =~"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"

// How the log is written: to standard error, a line an event.
#Log: {
    format: *"text" | "json"
    lines:  *5 | int & >=1 & <=1000          // of a kind, printed ...
    per:    *10s | duration & >=1s & <=1h    // ... in so long; the rest is counted
}

// The replicated store. Left out, the node keeps no store.
#Store: {
    folder: string & =~"^/"              // must outlive the process; made by `limerudder state init`
    listen: #Address                     // where the other members reach this one
    election:  *300ms | duration & >=50ms & <=1m       // without a leader for so long, one stands for it
    heartbeat: *100ms | duration & >=5ms & <=10s        // between a leader's signs of life
    snapshot_entries: *20000 | int & >=100 & <=10000000    // in the log, before it is cut ...
    snapshot_bytes:   *16MiB | size & >=64KiB & <=1GiB     // ... or so much of it
    value_most:       *64KiB | size & >=1KiB & <=512KiB    // of one value
    waiting_most:     *4096 | int & >=16 & <=100000        // writes that wait for their answer
    history:          *10000 | int & >=100 & <=1000000     // changes that watches can go back by
}

#File: {
    log:    #Log
    store?: #Store
}
"""


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Log settings."""

    format: str = "text"
    lines: int = 5
    per: int = 10_000_000  # window length in microseconds


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Settings of a node's replicated store; times in microseconds, sizes in bytes."""

    folder: str
    listen: Address
    election: int = 300_000
    heartbeat: int = 100_000
    snapshot_entries: int = 20_000
    snapshot_bytes: int = 16 << 20
    value_most: int = 64 << 10
    waiting_most: int = 4096
    history: int = 10_000


@dataclass(frozen=True, slots=True)
class OperatorFile:
    """Content of the operator's file."""

    log: LogSettings = field(default_factory=LogSettings)
    store: StoreSettings | None = None


def read_operator_file(text: str | bytes, file: str) -> OperatorFile:
    """Parse the operator's file; raises CueError that lists all errors in it."""
    content = load(text, file, SCHEMA, "#File")
    store = content.get("store")
    if store:
        store = StoreSettings(**{**store, "listen": parse_address(store["listen"])})
    return OperatorFile(LogSettings(**content["log"]), store)
