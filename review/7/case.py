"""Clients that read slowly: each pauses for some seconds in an answer, well inside its own time budget."""
import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))
import stage  # noqa: E402

CLIENTS = 8
# The time budget of the slowest kind of request of kit/more/system/demands (archive-export), and its largest answer.
BUDGET_MS, ANSWER_BYTES = 8000, 9000
# Less than that budget, and less than half of idleTimeoutMs.
PAUSE_S = 6.5 if stage.TROUBLE else 0.0
# The client's receive buffer: links have small windows.
WINDOW_BYTES = 4096
# LOST breaks at more than so many requests.
ALLOWED = 3


class Client:
    def __init__(self, machine, number, record):
        self.machine, self.number, self.record, self.notes, self.end = machine, number, record, [], ""
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def send(self, what, size, kept):
        ident = "%s%d" % (what, self.number)
        note = {"id": ident, "kept": kept, "status": 0, "whole": False, "sent": stage.now()}
        self.notes.append(note)
        self.sock.sendall(stage.request("GET", "/reads/%d-%s" % (size, ident), ident, BUDGET_MS, key=ident))
        return note

    def read(self, note, pause=0.0):
        """Reads an answer; pauses after its first byte."""
        first = self.file.read(1)
        if not first:
            raise ConnectionError("closed")
        time.sleep(pause)
        note["status"] = int((first + self.file.readline()).split()[1])
        size = 0
        while (line := self.file.readline().strip()):
            name, value = line.decode().lower().split(":", 1)
            size = int(value) if name == "content-length" else size
        body = self.file.read(size)
        note["whole"] = len(body) == size
        if not note["whole"]:
            raise ConnectionError("closed in a body")

    def run(self):
        host, port = self.machine.front.split(":")
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        self.sock.connect((host, int(port)))
        self.sock.settimeout(10)
        self.file = self.sock.makefile("rb", buffering=256)
        try:
            self.read(self.send("first", 10, False))
            # Stays on the connection, which is in touch by now, and sends a further safe request behind.
            time.sleep(5.0)
            large = self.send("large", ANSWER_BYTES, True)
            behind = self.send("behind", 10, True)
            self.read(large, PAUSE_S)
            self.read(behind)
        except OSError as e:
            self.end = repr(e)
        self.sock.close()


def case(make, record):
    platform = make({"a-1": "a", "a-2": "a"})
    targets = stage.Targets(platform, "reads", 6, "a-1")
    stage.write_manifest(platform.store, 1, [("/reads/", "safe", "reads", 8000, 2500)])
    machine = platform.add("front-1", "a-1")
    stage.wait_for(machine.is_ready, 8, "ready")
    clients = [Client(machine, n, record) for n in range(CLIENTS)]
    for client in clients:
        client.thread.join()
    ran = {ident: at for at, ident, _, _ in targets.runs}
    lost = []
    for client in clients:
        for note in client.notes:
            record("%s%s sent; %s; %s" % (
                note["id"], " (kept connection)" if note["kept"] else "",
                "a target ran it at %.3f" % (ran[note["id"]] - record.began) if note["id"] in ran else "did not run",
                "answered %d, %s" % (note["status"], "whole" if note["whole"] else "cut off") if note["status"]
                else "no byte of an answer, %s" % client.end), note["sent"])
            if note["kept"] and note["id"] in ran and not note["status"]:
                lost.append(note)
    for line in machine.lines("answer_unsent"):
        record("log of %s: %s" % (machine.name, line.strip()))
    firsts = sum(c.notes[0]["whole"] for c in clients)
    record.say("%d requests, %d without any answer though a target had run them, allowed %d; %d answers cut off" % (
        sum(len(c.notes) for c in clients), len(lost), ALLOWED,
        sum(bool(n["status"]) and not n["whole"] for c in clients for n in c.notes)))
    if firsts < CLIENTS:
        raise stage.CannotRun("only %d first answers" % firsts)
    return stage.BROKEN if len(lost) > ALLOWED else stage.HELD


stage.run_case(FOLDER, case)
