"""The package map in docs/ARCHITECTURE.md is correct: packages import only what their rows list."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
ROW = re.compile(r"^\| `(?P<package>[\w.]+)` \| [^|]+ \| (?P<allowed>[^|]*)\|$", re.MULTILINE)


def package_map() -> dict[str, set[str]]:
    """Return the table of the architecture page: the packages that each package may import."""
    text = (ROOT / "docs" / "ARCHITECTURE.md").read_text()
    section = text.split("## Packages and what they may import")[1].split("\n## ")[0]
    return {row["package"]: set(re.findall(r"`([\w.]+)`", row["allowed"])) for row in ROW.finditer(section)}


PACKAGES = package_map()


def module_name(path: Path) -> str:
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts).removesuffix(".__init__")


def package_of(module: str) -> str | None:
    """Return the innermost package of the map that contains a module; None for third-party modules."""
    containing = [name for name in PACKAGES if module == name or module.startswith(f"{name}.")]
    return max(containing, key=len) if containing else None


def imported_modules(path: Path) -> Iterator[str]:
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{path}: imports are absolute"
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def source_files() -> list[Path]:
    return sorted([*(ROOT / "limerudder").rglob("*.py"), *(ROOT / "harness").rglob("*.py")])


def test_the_map_has_every_package() -> None:
    assert len(PACKAGES) > 10
    missing = {module_name(path) for path in source_files() if package_of(module_name(path)) is None}
    assert not missing
    own_row = {"limerudder", *(module_name(path) for path in (ROOT / "limerudder").glob("*.py"))}
    unlisted = {module for module in own_row if package_of(module) != module}
    assert not unlisted, "top-level modules need their own rows"


def test_the_map_names_existing_packages() -> None:
    modules = {module_name(path) for path in source_files()}
    named = PACKAGES.keys() | {name for allowed in PACKAGES.values() for name in allowed}
    assert named <= modules


@pytest.mark.parametrize("package", sorted(PACKAGES))
def test_imports_match_the_map(package: str) -> None:
    allowed = PACKAGES[package] | {package}
    violations = []
    for path in source_files():
        if package_of(module_name(path)) != package:
            continue
        for imported in imported_modules(path):
            target = package_of(imported)
            if target is not None and target not in allowed:
                violations.append(f"{path.relative_to(ROOT)} imports {imported}")
    assert not violations
