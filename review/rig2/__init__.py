"""Stand-ins and helpers of the second review's cases: platform, roster, front boxes and clients."""
