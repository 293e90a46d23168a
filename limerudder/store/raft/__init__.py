"""Raft, as a machine one can hold in the hand: messages, time and durability in; messages, writes and entries out.

After D. Ongaro, "Consensus: Bridging Theory and Practice" (PhD thesis, Stanford 2014); chapter and section are
given where a mechanism comes from there. `machine` is the machine, `log` its log, `progress` what a leader knows
of a member, `messages` what members say to each other.
"""
