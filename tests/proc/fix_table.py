"""Edits of one row, as the table tests make them."""
import json
import time

from fix_proc import EDIT_EVERYWHERE_S, expect, labs

SERVICE, RANK = "status", "urgent"


def set_cell(lab, cell, value, by="test", vm=None):
    return lab.pstctl("--by=" + by, "table", "set", SERVICE, RANK, cell, str(value), vm=vm, check=False)


def cell(lab, name):
    """The cell in the store."""
    out = lab.pstctl("--json", "table", "show", check=False).stdout
    rows = json.loads(out)["services"][SERVICE]["rows"]
    row = next(r for r in rows if r["rank"] == RANK)
    domain = name.split(".", 1)[1]
    return row["weights"].get(domain, 0)


def history(lab, name):
    return [x for x in lab.pstctl("history").stdout.splitlines() if "%s %s %s:" % (SERVICE, RANK, name) in x]


def in_force(lab, vms, revision):
    status = lab.status()
    return all(int(status[v.id].get("in_force", 0)) >= revision for v in vms)


def revision_of(result):
    expect(result.returncode == 0, "edit failed: %s%s" % (result.stdout, result.stderr))
    return int(result.stdout.split("revision=")[1].split()[0])


def edit_in_time(lab, name, value, vms=None):
    began = time.monotonic()
    revision = revision_of(set_cell(lab, name, value))
    labs.wait_for(lambda: in_force(lab, vms or lab.entries, revision), EDIT_EVERYWHERE_S, "edit everywhere")
    took = time.monotonic() - began
    expect(took <= EDIT_EVERYWHERE_S, "in force everywhere only after %.2f s" % took)
    return revision
