"""The replicated log in memory: the entries after its base, and the configurations that they contain."""

from __future__ import annotations

from collections.abc import Sequence

from limerudder.store.raft.messages import ClusterConfig, Entry, EntryKind, decode_config


class RaftLog:
    """Entries `base_index + 1` to `last_index`; a snapshot covers those up to `base_index`."""

    def __init__(self, base_index: int, base_term: int, config: ClusterConfig) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self.last_index = base_index
        self.entries: list[Entry] = []
        self.size_bytes = 0
        # pairs of an entry's index and the configuration that is active from this entry on
        self._configs: list[tuple[int, ClusterConfig]] = [(base_index, config)]

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def config(self) -> ClusterConfig:
        """The latest configuration, committed or not (4.1)."""
        return self._configs[-1][1]

    @property
    def config_index(self) -> int:
        """The index of the entry with the latest configuration."""
        return self._configs[-1][0]

    def config_at(self, index: int) -> ClusterConfig:
        """The configuration that is active at an entry; `index` must be at least `base_index`."""
        return next(config for config_index, config in reversed(self._configs) if config_index <= index)

    def term_at(self, index: int) -> int | None:
        """The term of an entry, or None if it is not in the log."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def entry_at(self, index: int) -> Entry:
        """The entry with this index, which must be in the log."""
        return self.entries[index - self.base_index - 1]

    def entries_from(self, first_index: int, max_bytes: int, max_entries: int) -> tuple[Entry, ...]:
        """Entries from `first_index` on within both limits, but at least one if any exist."""
        start = first_index - self.base_index - 1
        selected: list[Entry] = []
        remaining_bytes = max_bytes
        for entry in self.entries[start : start + max_entries]:
            remaining_bytes -= entry.size_bytes()
            if remaining_bytes < 0 and selected:
                break
            selected.append(entry)
        return tuple(selected)

    def append(self, entries: Sequence[Entry]) -> None:
        """Add entries at the end."""
        for entry in entries:
            assert entry.index == self.last_index + 1, "the log has no gaps"
            assert entry.term >= self.last_term, "terms never decrease along the log"
            self.entries.append(entry)
            self.last_index = entry.index
            self.size_bytes += entry.size_bytes()
            if entry.kind == EntryKind.CONFIG:
                self._configs.append((entry.index, decode_config(entry.data)))

    def truncate(self, first_index: int) -> None:
        """Delete all entries from `first_index` on, together with their configurations."""
        assert first_index > self.base_index
        start = first_index - self.base_index - 1
        for entry in self.entries[start:]:
            self.size_bytes -= entry.size_bytes()
        del self.entries[start:]
        self.last_index = first_index - 1
        while self._configs[-1][0] >= first_index:
            self._configs.pop()

    def compact(self, index: int) -> None:
        """Delete all entries up to `index`, which a snapshot covers (5.1)."""
        if index <= self.base_index:
            return
        assert index <= self.last_index
        term = self.term_at(index)
        config = self.config_at(index)
        assert term is not None
        deleted_count = index - self.base_index
        for entry in self.entries[:deleted_count]:
            self.size_bytes -= entry.size_bytes()
        del self.entries[:deleted_count]
        self.base_index = index
        self.base_term = term
        later_configs = [item for item in self._configs if item[0] > index]
        self._configs = [(index, config), *later_configs]

    def find_conflict_by_term(self, index: int, term: int) -> int:
        """The last index up to `index` whose term is at most `term`; two logs cannot match beyond it.

        Skips a whole term in one round trip, as proposed in section 5.3 of the Raft paper and done by etcd.
        """
        index = min(index, self.last_index)
        while index > self.base_index and (self.term_at(index) or 0) > term:
            index -= 1
        return index
