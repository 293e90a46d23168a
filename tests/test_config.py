"""Tests for the configuration of a node process."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from harness.configurations import configuration, host, hosts, settings
from limerudder.config import load_config, reload_config
from limerudder.core.node_config import ConfigError


def test_the_configuration_file_has_the_same_settings_as_the_simulator(tmp_path: Path) -> None:
    config = load_config(configuration(tmp_path) | {"PROXY_NAME": "n7", "PROXY_LISTEN": "127.0.0.1:81"})
    assert (config.name, config.listen, config.seed) == ("n7", ("127.0.0.1", 81), 0x8C1F30D27A5BE964)
    assert config.settings.max_attempts == 3
    assert config.settings.connect_timeout_us == 100_000
    assert config.settings.report_fields == ("inflight", "x0")
    assert config.settings.classes[0].message_objective_us == 60_000
    assert config.settings.prices == {"probe": 0.002}
    assert config.names.zones == ("a", "b")
    assert config.known.endpoints[0].name == "s-1"


def test_a_reloaded_configuration_overrides_the_discovery_address_of_the_environment(
    tmp_path: Path,
) -> None:
    environment = configuration(tmp_path, discovery="127.0.0.1:7") | {"PROXY_DISCOVERY": "127.0.0.1:8"}
    assert load_config(environment).discovery[1] == 8
    assert reload_config(environment).discovery[1] == 7


@pytest.mark.parametrize(
    "changes",
    [
        {"limits": {"sockets": float("inf")}},
        {"listen": "here"},
        {"seed": "zz"},
        {"settings": {}},
        {"settings": settings() | {"classes": []}},
        {"settings": settings() | {"balancers": "two"}},
        {"known": hosts(host("s-1", "name:1"))},
        {"known": {}},
    ],
)
def test_an_invalid_configuration_raises_an_error(tmp_path: Path, changes: dict[str, Any]) -> None:
    with pytest.raises(ConfigError):
        load_config(configuration(tmp_path, **changes))
