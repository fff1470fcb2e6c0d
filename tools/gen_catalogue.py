"""Generates docs/EVENTS.md and docs/ERRORS.md from schema/events and errors.

Fails when a number or a symbol stands twice.
"""
import os
import re
import sys

STRING = r'"((?:[^"\\]|\\.)*)"'
EVENT = re.compile(r"X\(\s*(\d+),\s*(\w+),\s*" + STRING + r",\s*(\w+),\s*" + STRING
                   + r",\s*" + STRING + r",\s*" + STRING + r"\s*\)")
ERROR = re.compile(r"X\(\s*(\w+),\s*(-\d+),\s*" + STRING + r"\s*\)")


def read(kind, pattern):
    rows = []
    for name in sorted(os.listdir("schema/" + kind)):
        with open(os.path.join("schema", kind, name)) as f:
            text = f.read()
        found = pattern.findall(text)
        if name != "all.def" and len(found) != len(re.findall(r"^X\(", text, re.M)):
            sys.exit("schema/%s/%s: an entry does not parse" % (kind, name))
        rows += found
    return rows


def unique(rows, column, what):
    seen = set()
    for row in rows:
        if row[column] in seen:
            sys.exit("%s %s stands twice" % (what, row[column]))
        seen.add(row[column])


def main():
    base = sys.argv[1]
    events, errors = read("events", EVENT), read("errors", ERROR)
    for rows, what in ((events, "event"), (errors, "error")):
        unique(rows, 0, what)
        unique(rows, 1, what)
    with open(os.path.join(base, "docs/EVENTS.md"), "w") as f:
        f.write("# Log events\n\nGenerated from schema/events by `make gen`.\n"
                "A line is `TIME LEVEL module event=NUMBER name key=value...`.\n\n"
                "| event | name | level | keys | meaning | what to do |\n"
                "|---|---|---|---|---|---|\n")
        for n, _, name, level, keys, meaning, action in sorted(events, key=lambda r: int(r[0])):
            f.write("| %s | %s | %s | %s | %s | %s |\n" % (
                n, name, level.lower(), keys, meaning, action))
    with open(os.path.join(base, "docs/ERRORS.md"), "w") as f:
        f.write("# Errors\n\nGenerated from schema/errors by `make gen`.\n\n"
                "| number | name | meaning |\n|---|---|---|\n")
        for name, n, text in sorted(errors, key=lambda r: -int(r[1])):
            f.write("| %s | %s | %s |\n" % (n, name, text))


main()
