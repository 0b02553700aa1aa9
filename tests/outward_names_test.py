#!/usr/bin/env python3
"""Searches for each name of docs/outward-names.txt at the places that its heading lists.

Guards against renames that change what other programs, files or people depend on: messages, settings, metrics, flags.
A heading is "# what the names are: PLACE..."; a place is a file or a folder of the repository. A name must stand in a
text literal of a C++ source, or in the text of any other file. It must stand there as a whole word, unless it begins or
ends with another character than a letter, a digit or an underscore.
"""
import pathlib
import re
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
TOKEN = re.compile(
    r'//[^\n]*|/\*.*?\*/|^[ \t]*#[ \t]*include[^\n]*'
    r'|R"(?P<delimiter>[^()\s\\]{0,16})\((?P<raw>.*?)\)(?P=delimiter)"'
    r"""|"(?P<text>(?:[^"\\\n]|\\.)*)"|'(?:[^'\\\n]|\\.)+'""",
    re.S | re.M)
MINIMUM_NAMES = 300  # fewer means that the list was cut or not read


def literals(source):
    """The text literals of a C++ source, one a line, with escapes as spaces."""
    found = []
    for token in TOKEN.finditer(source):
        literal = token["raw"] if token["raw"] is not None else token["text"]
        if literal is not None:
            found.append(re.sub(r"\\.", " ", literal))
    return "\n".join(found)


def texts(root, place):
    """The searched text of a file, or of all files of a folder."""
    path = root / place
    files = sorted(f for f in path.rglob("*") if f.is_file()) if path.is_dir() else [path]
    out = []
    for file in files:
        content = file.read_text(encoding="utf-8")
        out.append(literals(content) if file.suffix in (".cpp", ".h") else content)
    return "\n".join(out)


def stands_in(name, text):
    before = r"(?<!\w)" if re.match(r"\w", name) else ""
    after = r"(?!\w)" if re.search(r"\w$", name) and not name.endswith("_") else ""
    return re.search(before + re.escape(name) + after, text) is not None


def check(root, listing):
    """Returns the count of names, and a line for each that is gone."""
    count, gone = 0, []
    heading, text = None, ""
    for line in listing.splitlines():
        if line.startswith("# "):
            heading, _, places = line[2:].rpartition(": ")
            existing = [place for place in places.split() if (root / place).exists()]
            if heading and len(existing) == len(places.split()):
                text = "\n".join(texts(root, place) for place in existing)
            else:
                heading, text = None, ""  # a plain comment, or a heading whose place is gone
        elif line:
            count += 1
            if heading is None:
                gone.append(f"'{line}' stands under no heading whose places exist")
            elif not stands_in(line, text):
                gone.append(f"'{line}' ({heading}) is gone from {places}")
    return count, gone


def test_that_a_gone_name_is_found():
    with tempfile.TemporaryDirectory() as folder:
        root = pathlib.Path(folder)
        (root / "a.cpp").write_text('#include "hidden"\n// "told"\nrequire("kept\\r\\n", R"({"raw":1})", "longer_name");\n')
        for name, expected in (("kept", 0), ("raw", 0), ("hidden", 1), ("told", 1), ("longer", 1), ("require", 1)):
            count, gone = check(root, f"# words: a.cpp\n{name}\n")
            assert (count, len(gone)) == (1, expected), (name, gone)
        assert len(check(root, "# words: b.cpp\nkept\n")[1]) == 1
        assert len(check(root, "kept\n")[1]) == 1


def main():
    test_that_a_gone_name_is_found()
    count, gone = check(ROOT, (ROOT / "docs" / "outward-names.txt").read_text(encoding="utf-8"))
    for line in gone:
        print(line)
    print(f"{count} names searched, {len(gone)} gone")
    sys.exit(1 if gone or count < MINIMUM_NAMES else 0)


if __name__ == "__main__":
    main()
