"""Where each key of a TOML text stands: the line of a path such as `class[1].wanted_within`.

The text has passed `tomllib`, so only the shape of valid files matters: headers, keys, values over several
lines. A key inside an inline table or an array is found at the line where that value begins.
"""

from __future__ import annotations

import re

HEADER = re.compile(r"\s*\[(\[?)\s*([^\]]+?)\s*\](\]?)")
KEY = re.compile(
    r"""\s*((?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*')(?:\s*\.\s*(?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*'))*)\s*="""
)
PART = re.compile(r"""[A-Za-z0-9_-]+|"[^"]*"|'[^']*'""")


def lines_of(text: str) -> dict[str, int]:
    """The line, from 1, of every table and key."""
    lines: dict[str, int] = {}
    counts: dict[str, int] = {}
    table, open_value = "", ""
    for number, line in enumerate(text.split("\n"), 1):
        if open_value:
            open_value = _still_open(open_value + line + "\n")
            continue
        header, key = HEADER.match(line), KEY.match(line)
        if header is not None and key is None:
            table = _place(_parts(header[2]), counts, is_array=bool(header[1]))
            lines.setdefault(table, number)
        elif key is not None:
            path = ".".join([table] * bool(table) + _parts(key[1]))
            lines.setdefault(path, number)
            open_value = _still_open(line[key.end() :] + "\n")
    return lines


def line_of(path: str, lines: dict[str, int]) -> int:
    """The line of a path, or of the nearest thing round it; 1 if there is none."""
    while path and path not in lines:
        path = path[: max(path.rfind("."), path.rfind("["), 0)]
    return lines.get(path, 1)


def _parts(dotted: str) -> list[str]:
    return [part.strip("\"'") for part in PART.findall(dotted)]


def _place(parts: list[str], counts: dict[str, int], is_array: bool) -> str:
    """The path of a header: elements of arrays of tables are numbered, from 0."""
    path = ""
    for place, part in enumerate(parts):
        path = f"{path}.{part}" if path else part
        last = place == len(parts) - 1
        if last and is_array:
            counts[path] = counts.get(path, -1) + 1
        if path in counts:
            path = f"{path}[{counts[path]}]"
    return path


def _still_open(value: str) -> str:
    """The value so far if it goes on in the next line, else an empty text."""
    depth, place = 0, 0
    while place < len(value):
        rest = value[place:]
        for quote in ('"""', "'''", '"', "'"):
            if rest.startswith(quote):
                end = _end_of_string(value, place + len(quote), quote)
                if end < 0:
                    return value
                place = end
                break
        else:
            char = value[place]
            if char == "#":
                place = value.find("\n", place)
                if place < 0:
                    break
            depth += (char in "[{") - (char in "]}")
            place += 1
    return value if depth > 0 else ""


def _end_of_string(value: str, place: int, quote: str) -> int:
    while place < len(value):
        if value[place] == "\\" and quote[0] == '"':
            place += 2
        elif value.startswith(quote, place):
            return place + len(quote)
        elif len(quote) == 1 and value[place] == "\n":
            return place  # valid files have none
        else:
            place += 1
    return -1
