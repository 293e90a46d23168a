"""The exit codes of every command; docs/COMMANDS.md tells them to operators."""

OK = 0
FAILED = 1  #: it was tried and did not work
WRONG_INPUT = 2  #: the command's words, a file or a configuration cannot be used; nothing was done
NOT_NOW = 3  #: nobody leads, or no answer came in time: it may be tried again
REFUSED = 4  #: a comparison, a schema or a limit does not let the write in
NOT_THERE = 5  #: no such key, member or revision
UNSURE = 6  #: the answer was lost: the write may have been done
