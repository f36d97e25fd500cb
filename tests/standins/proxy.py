"""A TCP proxy that injects faults between two processes.

Its control listener takes `POST /control` with one of: `{"cut": true}` closes all open connections;
`{"freeze": true}` makes the open ones silent for good while new ones work; `{"delay": seconds}`
holds every chunk back; `{"truncate": bytes}` cuts the next reply after so many bytes;
`{"refuse": true}` closes new connections at once; `{"silent": true}` makes new ones silent too;
`{"hold_requests": true}` and `{"hold_replies": true}` keep what comes from either side until they
are set to false.
"""

import argparse
import socket
import threading
import time
from typing import Any

from tests.standins.https import Reply, StandInServer

_CHUNK = 64 * 1024


class _Pair:
    """One connection through the proxy."""

    def __init__(self, near: socket.socket, far: socket.socket) -> None:
        self.near = near
        self.far = far
        self.frozen = threading.Event()

    def close(self) -> None:
        for end in (self.near, self.far):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            end.close()


class ProxyStandIn(StandInServer):
    """Forwards connections to one target.

    Args:
        target: `host:port`.
    """

    def __init__(self, target: str) -> None:
        super().__init__()
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.delay = 0.0
        self.truncate = 0
        self.refuse = False
        self.silent = False
        self.hold_requests = False
        self.hold_replies = False
        self.held = 0
        self.released = threading.Condition()
        self.pairs: set[_Pair] = set()
        self.opened = 0
        self.bytes = 0
        self.entry = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.handlers = {("POST", "control"): self.control, ("GET", "control/stats"): self.stats}

    @property
    def entry_address(self) -> str:
        """Return the address at which it takes connections."""
        return f"127.0.0.1:{self.entry.getsockname()[1]}"

    def run(self) -> None:
        threading.Thread(target=self.accept, daemon=True).start()
        print(
            f'{{"ready": {{"entry": "{self.entry_address}", "http": "{self.address}"}}}}',
            flush=True,
        )
        self.serve_forever()

    def accept(self) -> None:
        while True:
            near, _ = self.entry.accept()
            self.opened += 1
            if self.refuse:
                near.close()
                continue
            threading.Thread(target=self.connect, args=[near], daemon=True).start()

    def connect(self, near: socket.socket) -> None:
        try:
            far = socket.create_connection(self.target, timeout=5)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        pair = _Pair(near, far)
        for end in (near, far):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self.lock:
            self.pairs.add(pair)
            if self.silent:
                pair.frozen.set()
            if self.refuse:
                pair.close()
        threading.Thread(target=self.pump, args=[pair, near, far, False], daemon=True).start()
        self.pump(pair, far, near, True)

    def registered(self, pair: _Pair) -> None:
        """Look at a connection once more, now that `control` knows of it too."""

    def pump(self, pair: _Pair, source: socket.socket, sink: socket.socket, reply: bool) -> None:
        try:
            while data := source.recv(_CHUNK):
                self.bytes += len(data)
                if self.delay:
                    time.sleep(self.delay)
                self.wait_while_held(reply)
                if pair.frozen.is_set():
                    continue
                if reply and self.truncate:
                    data, self.truncate = data[: self.truncate], 0
                    sink.sendall(data)
                    break
                sink.sendall(data)
        except OSError:
            pass
        if pair.frozen.is_set():
            return
        with self.lock:
            self.pairs.discard(pair)
        pair.close()

    def wait_while_held(self, reply: bool) -> None:
        """Keep a chunk while its direction is held; `held` counts the chunks kept now."""
        with self.released:
            self.held += 1
            self.released.wait_for(lambda: not (self.hold_replies if reply else self.hold_requests))
            self.held -= 1

    def control(self, body: dict[str, Any], names: dict[str, str]) -> Reply:
        with self.lock:
            # First, so that a connection that is just being made is met by one or the other: it is
            # among the pairs, or it sees the new state when it joins them.
            for field in {"refuse", "silent"} & body.keys():
                setattr(self, field, body.pop(field))
            pairs = tuple(self.pairs)
        if body.pop("cut", False):
            for pair in pairs:
                pair.close()
        if body.pop("freeze", False):
            for pair in pairs:
                pair.frozen.set()
        with self.released:
            for field, value in body.items():
                setattr(self, field, value)
            self.released.notify_all()
        return 200, {"pairs": len(pairs)}

    def stats(self, body: dict[str, Any], names: dict[str, str]) -> Reply:
        return 200, {
            "opened": self.opened,
            "pairs": len(self.pairs),
            "bytes": self.bytes,
            "held": self.held,
        }


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("target")
    ProxyStandIn(parser.parse_args().target).run()
