"""Builds JSON configurations of nodes: settings, endpoint lists and configuration files."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

SECOND = 1_000_000
ID = "9b1f03aa5c7e2d41"
KEY = "7f3a9c21e0b4d655"
LINE = f"OPEN {ID} {KEY} c=chat,t=acme,d=2000,g=5c0f6e1a2b3d4c59"


def with_request_id(line: str, number: int) -> str:
    """Return the line with a unique request id for each number; number 0 leaves it unchanged."""
    return line.replace(ID, f"{int(ID, 16) + number:016x}")


def settings(**caps: Any) -> dict[str, Any]:
    """Return the settings of a configuration file; `caps` override the default platform capabilities."""
    chat = {"aimUs": 300_000, "deadlineUs": 2 * SECOND, "effect": "safe", "name": "chat", "stream": True}
    allowed = {"cancel": True, "probes": False, "peers": True, "tryLimit": 3, "dialTimeoutUs": 100_000}
    return {
        "balancers": 2,
        "me": 0,
        "zone": 0,
        "areas": ["a", "b"],
        "kinds": ["m1"],
        "classes": [chat],
        "customers": [{"name": "acme"}, {"name": "bolt"}],
        "discovery": "on_request",
        "caps": {**allowed, **caps},
        "domain": {"tellsDelay": True, "messageAimUs": [60_000.0], "groups": True},
        "loadInfo": {"fields": ["inflight", "x0"], "via": "probe"},
        "invariants": {
            "askEveryUs": 10 * SECOND,
            "drainGraceUs": 500_000,
            "startCapacity": 0.13,
            "warmUpUs": 24 * SECOND,
            "overloadFactor": 3.0,
            "overloadForUs": 2 * SECOND,
            "graceToAnswerUs": 20_000,
        },
        "prices": {"probe": 0.002},
        "tickUs": 5000,
    }


def host(name: str, address: str = "127.0.0.1:9", lifecycle: str = "active") -> dict[str, Any]:
    """Return one entry of the endpoint list."""
    fixed = {"zone": "a", "machineType": "m1", "cell": 0, "weight": 1.0, "startedAtMs": 0}
    return {"instanceId": name, "hostPort": address, "lifecycle": lifecycle, **fixed}


def hosts(*entries: dict[str, Any], reset: bool = True) -> dict[str, Any]:
    """Return an endpoint list; `reset` marks a complete list."""
    return {"generation": 41, "reset": reset, "instances": list(entries)}


def configuration(folder: Path, **changes: Any) -> dict[str, str]:
    """Write a configuration file and return the environment variables that refer to it."""
    given = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:9",
        "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 1024},
        "known": hosts(host("s-1"), host("s-2")),
        "settings": settings(),
        **changes,
    }
    path = folder / "config.json"
    path.write_text(json.dumps(given))
    return {"PROXY_CONFIG": str(path)}
