"""Tests of the decoder and the encoder with bytes written by hand from the protocol's layout."""

from __future__ import annotations

import pytest

from limerudder.policy.actions import (
    ALL_PEERS,
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    LogMessage,
    MigrateClient,
    PolicyError,
    PollEndpoints,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from limerudder.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    ConnectionEstablished,
    EndpointUpdate,
    ExistingConnection,
    HealthCheckResult,
    LoadSample,
    NewRequest,
    PeerMessage,
    ServerEntry,
    TimerFired,
)
from limerudder.simulator.decoding import decode, parse_settings
from limerudder.simulator.encoding import encode
from limerudder.simulator.protocol import InstanceCrashed, ProtocolError, SimulatorEvent

SERVER = 0x03124A07
REQUEST = "01 0300 c4913a5db8a60a00 00 0000 640ad2557c3bf091 80a90300 e02e0000 107cf3d901648e2b 01"
EVENTS = [
    (REQUEST, NewRequest(0x0AA6B85D3A91C4, 0, 0, 0x91F03B7C55D20A64, 240000, 12000, 0x2B8E6401D9F37C10, 1)),
    ("0a 0300 192b6f0e025b0800", ClientDisconnected(0x085B020E6F2B19)),
    ("05 0300 c4913a5db8a60a00 074a1203 0000003f 00 01", LoadSample(0x0AA6B85D3A91C4, SERVER, 0.5, 0)),
    (
        "0c 0300 192b6f0e025b0800 00 0000 640ad2557c3bf091 80a90300 e02e0000 107cf3d901648e2b 01 f211902c",
        ExistingConnection(
            0x085B020E6F2B19, 0, 0, 0x91F03B7C55D20A64, 240000, 12000, 0x2B8E6401D9F37C10, 1, 0x2C9011F2
        ),
    ),
    (
        "08 0300 f211902c 78050000 c800 04 00000c430000684100004040cdcccc3e",
        HealthCheckResult(0x2C9011F2, 1400, 200, (140.0, 14.5, 3.0, 0.4000000059604645)),
    ),
    ("00 0300 4d000000", TimerFired(77)),
    (
        "07 0300 c4913a5db8a60a00 074a1203 00 22240000",
        ConnectionEstablished(0x0AA6B85D3A91C4, SERVER, 0, 9250),
    ),
    ("0b 0300", InstanceCrashed()),
    (
        "03 0300 c4913a5db8a60a00 00 074a1203 c800 44480000 01 00",
        AttemptEnded(0x0AA6B85D3A91C4, 0, SERVER, 200, 18500, 1, ()),
    ),
    ("04 0300 02000000 0400 68692037", PeerMessage(2, b"hi 7")),
]
LIST = (
    "06 00 02000000 074a1203 0000 00 0000 01 0000803f 0000000000000000"
    " f211902c 0000 00 0000 01 0000c03f 20145d0000000000"
)
SYNC = "09 0300 03 2900000000000000 00"


@pytest.mark.parametrize(("text", "event"), EVENTS)
def test_each_event_is_decoded_as_the_protocol_page_shows_it(text: str, event: SimulatorEvent) -> None:
    assert list(decode(bytes.fromhex(text), {})) == [(3, event)]


def test_a_list_number_may_be_reused_inside_one_batch() -> None:
    second = "06 00 01000000 f211902c 0100 00 0200 02 0000803f 0000000000000000"
    events = list(decode(bytes.fromhex(LIST + SYNC + second + SYNC), {}))
    first, other = (event for _, event in events if isinstance(event, EndpointUpdate))
    assert [entry.server_id for entry in first.entries] == [SERVER, 0x2C9011F2]
    assert first.entries[1].ready_since_us == 0x5D1420 and first.entries[1].weight == 1.5
    assert other.entries == [ServerEntry(0x2C9011F2, 1, 0, 2, 2, 1.0, 0)]


@pytest.mark.parametrize(
    ("action", "text"),
    [
        (StartAttempt(0x0AA6B85D3A91C4, SERVER, 80000), "40 0300 c4913a5db8a60a00 074a1203 80380100"),
        (LogMessage("two servers known"), "48 0300 1100 74776f2073657276657273206b6e6f776e"),
        (FailRequest(0x085B020E6F2B19), "42 0300 192b6f0e025b0800"),
        (WatchEndpoints(True), "4a 0300 01"),
        (PollEndpoints(), "4b 0300"),
        (SendPeerMessage(ALL_PEERS, b"hi 7"), "47 0300 ffffffff 0400 68692037"),
        (SetTimer(0x877DFA - 0x80, 77), "44 0300 7a7d870000000000 4d000000"),
        (PolicyError("index out of range"), "49 0300 1200 696e646578206f7574206f662072616e6765"),
        (CancelAttempt(0x0AA6B85D3A91C4, 0), "43 0300 c4913a5db8a60a00 00"),
        (MigrateClient(0x085B020E6F2B19), "4c 0300 192b6f0e025b0800"),
        (RejectRequest(0x085B020E6F2B19, 250000), "41 0300 192b6f0e025b0800 90d00300"),
        (CheckHealth(0x2C9011F2), "45 0300 f211902c"),
        (CloseIdleConnections(0x2C9011F2), "46 0300 f211902c"),
    ],
)
def test_each_action_is_encoded_as_the_protocol_page_shows_it(action: Action, text: str) -> None:
    assert encode(3, action) == bytes.fromhex(text)


@pytest.mark.parametrize(
    ("text", "words"),
    [
        (REQUEST[:-3], "new_request at byte 0 is truncated"),
        ("63 0300", "unknown event code 99 at byte 0"),
        ("0b 0300 0a 0300", "aborted at byte 3 is truncated"),
        (SYNC, "list 0, which was not sent"),
        ("06 00 09000000 074a1203", "extends past the end of the frame"),
        ("04 0300 02000000 ff00 68", "extends past the end of the frame"),
        ("03 0300 c4913a5db8a60a00 00 074a1203 0700 44480000 01 00", "unknown outcome 7"),
        ("03 0300 c4913a5db8a60a00 00 074a1203 c800 44480000 01 04", "is truncated"),
    ],
)
def test_malformed_records_are_reported_with_their_position(text: str, words: str) -> None:
    with pytest.raises(ProtocolError, match=words):
        list(decode(bytes.fromhex(text), {}))


SETTINGS = """\
areas=north,south
balancers=3
zone=1
classes.count=1
classes.0.aimUs=500000
classes.0.deadlineUs=2000000
classes.0.effect=safe
discovery=on_request
invariants.askEveryUs=10000000
invariants.drainGraceUs=2000000
invariants.startCapacity=0.14
invariants.warmUpUs=23000000
invariants.overloadFactor=2.5
invariants.overloadForUs=1000000
caps.probes=true
domain.messageAimUs=250000.0
domain.tenantQuotaConnections=204.0,null
loadInfo.fields=qps,x0
prices.probe=0.002
some.later.key=7
weights=null
"""


def test_settings_are_read_and_unknown_keys_are_ignored() -> None:
    settings = parse_settings(SETTINGS.encode())
    assert (
        settings.node_count,
        settings.zone,
        settings.allows_health_checks,
        settings.allows_cancellation,
    ) == (3, 1, True, False)
    assert settings.classes[0].message_objective_us == 250000 and settings.report_fields == ("qps", "x0")
    assert settings.tenant_quotas == (204.0, float("inf")) and settings.prices == {"probe": 0.002}


@pytest.mark.parametrize(
    "key", ["balancers", "zone", "discovery", "classes.count", "classes.0.effect", "invariants.warmUpUs"]
)
def test_a_missing_key_with_no_safe_default_is_reported(key: str) -> None:
    text = "\n".join(line for line in SETTINGS.splitlines() if not line.startswith(key + "="))
    with pytest.raises(ProtocolError, match=f"lack the key {key}"):
        parse_settings(text.encode())


def test_an_invalid_value_is_reported() -> None:
    with pytest.raises(ProtocolError, match="invalid value: balancers=many"):
        parse_settings(SETTINGS.replace("balancers=3", "balancers=many").encode())
