"""Event counters of a node since the start of its process."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from limerudder.policy.events import AttemptOutcome


class CounterName(StrEnum):
    """All counters; the values are the names shown to operators."""

    PINGS = "pings"
    REQUESTS = "requests"
    REQUESTS_REATTACHED = "requests_reattached"
    REQUESTS_MALFORMED = "requests_malformed"
    REQUESTS_OVERLONG = "requests_overlong"
    REQUESTS_INCOMPLETE = "requests_incomplete"
    REQUESTS_UNKNOWN_NAME = "requests_unknown_name"
    REQUESTS_DUPLICATE_ID = "requests_duplicate_id"
    REQUESTS_PIPELINED_EARLY = "requests_pipelined_early"
    REQUESTS_OVERDUE = "requests_overdue"
    CLIENTS_TIMED_OUT = "clients_timed_out"
    CLIENTS_EVICTED = "clients_evicted"
    CLIENTS_FORCE_CLOSED = "clients_force_closed"
    CLIENTS_CLOSED_UNSENT = "clients_closed_unsent"
    CLIENTS_DISCONNECTED = "clients_disconnected"
    CLIENTS_DISCONNECTED_UNREAD = "clients_disconnected_unread"
    BYTES_DISCARDED = "bytes_discarded"
    ANSWERS_SERVED = "answers_served"
    ANSWERS_REJECTED = "answers_rejected"
    ANSWERS_FAILED = "answers_failed"
    ATTEMPTS = "attempts"
    ATTEMPTS_OK = "attempts_ok"
    ATTEMPTS_FULL = "attempts_full"
    ATTEMPTS_OBSOLETE = "attempts_obsolete"
    ATTEMPTS_TIMEOUT = "attempts_timeout"
    ATTEMPTS_CANCELLED = "attempts_cancelled"
    ATTEMPTS_ERROR = "attempts_error"
    ATTEMPTS_RESET = "attempts_reset"
    ATTEMPTS_CONNECT_FAILED = "attempts_connect_failed"
    MIGRATIONS = "migrations"
    RULE_VIOLATIONS = "rule_violations"
    UPSTREAMS_UNRESPONSIVE = "upstreams_unresponsive"
    HEALTH_CHECKS = "health_checks"
    HEALTH_CHECKS_OK = "health_checks_ok"
    HEALTH_CHECKS_FULL = "health_checks_full"
    HEALTH_CHECKS_OBSOLETE = "health_checks_obsolete"
    HEALTH_CHECKS_TIMEOUT = "health_checks_timeout"
    HEALTH_CHECKS_CANCELLED = "health_checks_cancelled"
    HEALTH_CHECKS_ERROR = "health_checks_error"
    HEALTH_CHECKS_RESET = "health_checks_reset"
    HEALTH_CHECKS_CONNECT_FAILED = "health_checks_connect_failed"
    UPSTREAM_CLOSES_TIMED_OUT = "upstream_closes_timed_out"
    LATENCY_EXCEEDED = "latency_exceeded"
    LATENCY_RECOVERED = "latency_recovered"
    LOAD_REPORTS_MALFORMED = "load_reports_malformed"
    PEER_MESSAGES_RECEIVED = "peer_messages_received"
    PEER_MESSAGES_SENT = "peer_messages_sent"
    PEER_MESSAGES_MALFORMED = "peer_messages_malformed"
    ENDPOINT_UPDATES = "endpoint_updates"
    DISCOVERY_CALLS = "discovery_calls"
    DISCOVERY_FAILURES = "discovery_failures"
    DISCOVERY_RENUMBERED = "discovery_renumbered"
    ENDPOINT_LISTS_OUTDATED = "endpoint_lists_outdated"
    MAINTENANCE_STARTED = "maintenance_started"
    MAINTENANCE_ENDED = "maintenance_ended"
    CONSOLE_CALLS = "console_calls"
    CONSOLE_CALLS_FAILED = "console_calls_failed"
    POLICY_ERRORS = "policy_errors"
    CALLBACK_ERRORS = "callback_errors"
    DIALS_FAILED_LOCALLY = "dials_failed_locally"


#: Counters of attempts by outcome.
ATTEMPT_COUNTERS = {outcome: CounterName(f"attempts_{outcome.name.lower()}") for outcome in AttemptOutcome}
#: Counters of health checks by outcome.
HEALTH_CHECK_COUNTERS = {
    outcome: CounterName(f"health_checks_{outcome.name.lower()}") for outcome in AttemptOutcome
}


class Counters(Counter[CounterName]):
    """Values by counter; counters that were never incremented are not printed."""

    def increment(self, name: CounterName, amount: int = 1) -> None:
        """Increment a counter."""
        self[name] += amount

    def text(self) -> str:
        """Return all counters on one line in alphabetical order."""
        return " ".join(f"{name}={self[name]}" for name in sorted(self))
