"""The list of known failures: a listed failure passes, any other fails, a mended one is named."""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from tests.known_red import KnownRed, KnownRedError, load, parse

pytest_plugins = ["pytester"]
TESTS = Path(__file__).parent
ENTRY = "tests/test_a.py::test_red | python -m pytest, seed 3 | 2 is not 1 | issue 40"


def test_a_missing_file_lists_nothing(tmp_path: Path) -> None:
    assert load(tmp_path / "KNOWN-RED.txt") == ()


def test_an_entry_has_four_parts() -> None:
    lines = ["# comment", "", ENTRY]
    assert list(parse(lines)) == [
        KnownRed("tests/test_a.py::test_red", "python -m pytest, seed 3", "2 is not 1", "issue 40")
    ]


@pytest.mark.parametrize("line", ["tests/test_a.py::test_red", ENTRY + " | more", "a |  | c | d"])
def test_a_line_that_is_no_entry_is_refused(line: str) -> None:
    with pytest.raises(KnownRedError, match="line 1"):
        list(parse([line]))


def test_a_test_without_parameters_stands_for_all_of_them() -> None:
    entry = KnownRed("tests/test_a.py::test_red", "c", "o", "i")
    assert entry.matches("tests/test_a.py::test_red[1]")
    assert not entry.matches("tests/test_a.py::test_redder")


@pytest.mark.parametrize(
    ("body", "code", "said"),
    [
        (
            "def test_red(): assert 2 == 1",
            pytest.ExitCode.OK,
            "KNOWN-RED fails as known: tests/test_a.py::test_red",
        ),
        ("def test_red(): pass", pytest.ExitCode.OK, "KNOWN-RED PASSES: take it off the list"),
        ("def test_other(): assert 2 == 1", pytest.ExitCode.TESTS_FAILED, "1 failed"),
    ],
    ids=["listed and failing", "listed and passing", "not listed"],
)
def test_only_a_listed_failure_is_passed_over(
    pytester: pytest.Pytester, body: str, code: pytest.ExitCode, said: str
) -> None:
    """Run in a project of its own: this list, this plugin, one test."""
    folder = pytester.mkpydir("tests")
    for name in ("conftest.py", "known_red.py"):
        shutil.copy(TESTS / name, folder / name)
    (folder / "test_a.py").write_text(body)
    (pytester.path / "KNOWN-RED.txt").write_text(ENTRY + "\n")
    result = pytester.runpytest_subprocess("tests")
    assert result.ret == code
    assert said in result.stdout.str()
