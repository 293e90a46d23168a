"""The configuration of a node process."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from limerudder.config import load_config, reload_config
from limerudder.core.node_config import ConfigError
from tests.scripted_peers import configuration, host, hosts, settings


def test_the_configuration_file_has_the_same_settings_as_the_simulator(tmp_path: Path) -> None:
    config = load_config(configuration(tmp_path) | {"PROXY_NAME": "n7", "PROXY_LISTEN": "127.0.0.1:81"})
    assert (config.name, config.listen, config.seed) == ("n7", ("127.0.0.1", 81), 0x8C1F30D27A5BE964)
    read = config.settings
    assert (read.max_attempts, read.connect_timeout_us, read.report_fields) == (
        3,
        100_000,
        ("inflight", "x0"),
    )
    assert read.classes[0].message_objective_us == 60_000 and read.prices == {"probe": 0.002}
    assert config.names.zones == ("a", "b") and config.known.endpoints[0].name == "s-1"


def test_a_reloaded_configuration_has_its_own_discovery_whatever_the_environment_says(
    tmp_path: Path,
) -> None:
    given = configuration(tmp_path, discovery="127.0.0.1:7") | {"PROXY_DISCOVERY": "127.0.0.1:8"}
    assert load_config(given).discovery[1] == 8 and reload_config(given).discovery[1] == 7


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
def test_a_bad_configuration_is_an_error(tmp_path: Path, changes: dict[str, Any]) -> None:
    with pytest.raises(ConfigError):
        load_config(configuration(tmp_path, **changes))
