"""Common definitions for both directions of the simulator's protocol: frame headers, record codes, errors.

The simulator sends frames of event records, called batches; the adapter answers each with a frame of action
records. All numbers are little-endian, times are microseconds.
"""

from __future__ import annotations

from enum import IntEnum
from struct import Struct
from typing import NamedTuple

from limerudder.policy.events import Event
from limerudder.policy.settings import Settings

BATCH_HEADER = Struct("<IQI")  #: Size of the body in bytes, clock, number of the batch
REPLY_HEADER = Struct("<III")  #: Size of the body in bytes, number of records, number of the batch
#: Maximum frame size. Batches may be several megabytes; a larger size indicates a corrupt length field.
MAX_FRAME_BYTES = 1 << 28


class ProtocolError(Exception):
    """A frame or a record that does not follow the layout."""


class EventCode(IntEnum):
    """The first byte of each event record."""

    REMINDER = 0
    NEW_REQUEST = 1
    ATTACH = 2
    FINISHED = 3
    MESSAGE = 4
    PROGRESS = 5
    DIRECTORY = 6
    UNDER_WAY = 7
    SAMPLED = 8
    SYNC = 9
    ABORTED = 10
    CRASH_NOW = 11
    PREEXISTING = 12


class ActionCode(IntEnum):
    """The first byte of each action record."""

    START_ATTEMPT = 64
    REJECT_REQUEST = 65
    FAIL_REQUEST = 66
    CANCEL_ATTEMPT = 67
    SET_TIMER = 68
    CHECK_HEALTH = 69
    CLOSE_IDLE_CONNECTIONS = 70
    SEND_PEER_MESSAGE = 71
    LOG_MESSAGE = 72
    POLICY_ERROR = 73
    WATCH_ENDPOINTS = 74
    POLL_ENDPOINTS = 75
    MIGRATE_CLIENT = 76


class InstanceStarted(NamedTuple):
    """An instance has started; the only event that creates a Balancer."""

    seed: int
    settings: Settings


class InstanceCrashed(NamedTuple):
    """An instance was killed."""


SimulatorEvent = Event | InstanceStarted | InstanceCrashed
