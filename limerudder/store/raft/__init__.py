"""Raft, as a machine one can hold in the hand.

Messages, time and durability go in; messages, writes and entries come out. After D. Ongaro, "Consensus:
Bridging Theory and Practice" (PhD thesis, Stanford 2014); chapter and section are given where a mechanism
comes from there. `machine` is the machine, `log` its log, `progress` what a leader knows of a member,
`messages` what members say.
"""
