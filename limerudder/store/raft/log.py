"""The log in memory: the entries since the last snapshot, and who the members are at its end."""

from __future__ import annotations

from collections.abc import Sequence

from limerudder.store.raft.messages import ClusterConfig, Entry, EntryKind, decode_config


class RaftLog:
    """Entries `base_index + 1` to `last_index`; those up to `base_index` stand in a snapshot."""

    def __init__(self, base: int, base_term: int, config: ClusterConfig) -> None:
        self.base_index, self.base_term = base, base_term
        self.entries: list[Entry] = []
        self.size_bytes = 0
        self.configs: list[tuple[int, ClusterConfig]] = [(base, config)]  # each with its entry's index

    @property
    def last_index(self) -> int:
        """The last entry's index."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The last entry's term."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def config(self) -> ClusterConfig:
        """Who the members are: by the last such entry, committed or not (4.1)."""
        return self.configs[-1][1]

    @property
    def config_index(self) -> int:
        """Where that entry stands."""
        return self.configs[-1][0]

    def config_at(self, index: int) -> ClusterConfig:
        """Who the members were as of an entry; not before `base_index`."""
        return next(config for at, config in reversed(self.configs) if at <= index)

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None where it is not here."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def entry_at(self, index: int) -> Entry:
        """The entry of this index."""
        return self.entries[index - self.base_index - 1]

    def entries_from(self, first: int, max_bytes: int, max_entries: int) -> tuple[Entry, ...]:
        """Entries from `first` on: at least one where there is one, else within both bounds."""
        found: list[Entry] = []
        room = max_bytes
        for entry in self.entries[first - self.base_index - 1 : first - self.base_index - 1 + max_entries]:
            room -= entry.size_bytes()
            if room < 0 and found:
                break
            found.append(entry)
        return tuple(found)

    def append(self, entries: Sequence[Entry]) -> None:
        """Put entries at the end."""
        for entry in entries:
            assert entry.index == self.last_index + 1, "the log has no gaps"
            assert entry.term >= self.last_term, "terms never fall along the log"
            self.entries.append(entry)
            self.size_bytes += entry.size_bytes()
            if entry.kind == EntryKind.CONFIG:
                self.configs.append((entry.index, decode_config(entry.data)))

    def truncate(self, first: int) -> None:
        """Take away all entries from `first` on, and with them what they said of the members."""
        assert first > self.base_index
        for entry in self.entries[first - self.base_index - 1 :]:
            self.size_bytes -= entry.size_bytes()
        del self.entries[first - self.base_index - 1 :]
        while self.configs[-1][0] >= first:
            self.configs.pop()

    def compact(self, index: int) -> None:
        """Let go of all entries up to `index`, which a snapshot holds."""
        if index <= self.base_index:
            return
        assert index <= self.last_index
        term, config = self.term_at(index), self.config_at(index)
        assert term is not None
        for entry in self.entries[: index - self.base_index]:
            self.size_bytes -= entry.size_bytes()
        del self.entries[: index - self.base_index]
        self.base_index, self.base_term = index, term
        self.configs = [(index, config), *((at, one) for at, one in self.configs if at > index)]

    def find_conflict_by_term(self, index: int, term: int) -> int:
        """The last index up to `index` whose term is not over `term`: two logs may agree up to it."""
        index = min(index, self.last_index)
        while index > self.base_index and (self.term_at(index) or 0) > term:
            index -= 1
        return index
