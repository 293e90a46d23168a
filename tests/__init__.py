"""Tests of the policy, the node, the store and the tools; none needs the benchmark environment."""
