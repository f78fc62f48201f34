"""Finished packages stay readable: small modules, short functions, docstrings, the formatter.

docs/ROADMAP.md names the packages that are not finished; each is added here once it is.
"""

from __future__ import annotations

import ast
import tomllib
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
FINISHED = (
    "balancing",
    "consensus",
    "hot_restart",
    "proxy",
    "replication",
    "rollout",
    "simulator",
    "storage",
)
MODULES = sorted(path for name in FINISHED for path in (ROOT / "badgergap" / name).rglob("*.py"))
MOST_LINES = 500
MOST_FUNCTION_LINES = 50
MOST_COLUMNS = 110

Definition = ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef


def definitions(tree: ast.AST) -> Iterator[Definition]:
    for node in ast.walk(tree):
        if isinstance(node, Definition):
            yield node


def public(tree: ast.Module | ast.ClassDef) -> Iterator[Definition]:
    """Public classes and functions of a module, and the public methods of these classes."""
    for node in tree.body:
        if isinstance(node, Definition) and not node.name.startswith("_"):
            yield node
            if isinstance(node, ast.ClassDef):
                yield from public(node)


def test_the_packages_are_found() -> None:
    assert {path.relative_to(ROOT).parts[1] for path in MODULES} == set(FINISHED)
    assert {"balancer.py", "raft.py", "proxy.py", "acceptor.py"} <= {path.name for path in MODULES}


@pytest.mark.parametrize("path", MODULES, ids=lambda path: str(path.relative_to(ROOT / "badgergap")))
def test_modules_and_functions_are_short(path: Path) -> None:
    text = path.read_text()
    lines = text.splitlines()
    assert len(lines) <= MOST_LINES
    assert max(map(len, lines)) <= MOST_COLUMNS
    for node in definitions(ast.parse(text)):
        if not isinstance(node, ast.ClassDef):
            assert (node.end_lineno or 0) - node.lineno < MOST_FUNCTION_LINES, node.name


@pytest.mark.parametrize("path", MODULES, ids=lambda path: str(path.relative_to(ROOT / "badgergap")))
def test_public_items_have_a_docstring(path: Path) -> None:
    tree = ast.parse(path.read_text())
    assert ast.get_docstring(tree)
    assert [node.name for node in public(tree) if not ast.get_docstring(node)] == []


def test_the_formatter_leaves_nothing_of_it_out() -> None:
    ruff = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]
    assert "exclude" not in ruff.get("format", {})
    assert not any(name in pattern for pattern in ruff["extend-exclude"] for name in FINISHED)


def test_the_benchmark_counts_every_module() -> None:
    listed = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    balancing = sorted((ROOT / "badgergap" / "balancing").glob("*.py"))
    assert listed == [str(path.relative_to(ROOT)) for path in balancing]
