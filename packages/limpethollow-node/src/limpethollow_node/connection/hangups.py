"""Notices callers that hang up while their request is being handled."""

import selectors
import socket
import threading
from collections.abc import Callable

from limpethollow_node.process import events
from limpethollow_node.process.metrics import Metrics

_PEEK = socket.MSG_PEEK | socket.MSG_DONTWAIT


class WaitingCaller:
    """One caller that waits for an answer, as the handler of its request sees it.

    Used as a context manager around the handling; after it, nothing is called back any more.

    Args:
        watch: Watches the connection.
        sock: The caller's connection.
    """

    def __init__(self, watch: "HangUpWatch", sock: socket.socket) -> None:
        self._watch = watch
        self._socket = sock
        self._lock = threading.Lock()
        self._callback: Callable[[], None] | None = None
        self._is_gone = False
        self._key: selectors.SelectorKey | None = None

    def __enter__(self) -> "WaitingCaller":
        self._key = self._watch.add(self._socket, self)
        return self

    def __exit__(self, *_: object) -> None:
        self._watch.remove(self._key)
        with self._lock:
            self._callback = None

    @property
    def is_gone(self) -> bool:
        """Whether the caller hung up."""
        return self._is_gone

    def when_gone(self, callback: Callable[[], None]) -> None:
        """Have a callable called once the caller hangs up, at once where it did already.

        It takes the place of the one given before.
        """
        with self._lock:
            self._callback = callback
            is_gone = self._is_gone
        if is_gone:
            callback()

    def hung_up(self) -> None:
        """Note that the caller hung up."""
        with self._lock:
            self._is_gone = True
            callback = self._callback
        if callback is not None:
            callback()


class HangUpWatch:
    """Watches the connections of waiting callers in one thread, which sleeps while none ends.

    Without it, the calls for a caller that left run on to their deadline, in slots that callers who
    still wait could use. A caller that closes only its sending side is taken for one that hung up.

    Args:
        metrics: Where hang-ups are counted.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._lock = threading.Lock()
        self._selector = selectors.DefaultSelector()
        self._closing, self._close_signal = socket.socketpair()
        self._selector.register(self._closing, selectors.EVENT_READ, None)
        self._thread = threading.Thread(target=self._run, name="hang-ups", daemon=True)

    def __enter__(self) -> "HangUpWatch":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._close_signal.close()
        self._thread.join()
        self._closing.close()

    def caller(self, sock: socket.socket) -> WaitingCaller:
        """Return a waiting caller, to be used as a context manager."""
        return WaitingCaller(self, sock)

    def add(self, sock: socket.socket, caller: WaitingCaller) -> selectors.SelectorKey:
        """Begin to watch a connection; return what ends it."""
        with self._lock:
            return self._selector.register(sock, selectors.EVENT_READ, caller)

    def remove(self, key: selectors.SelectorKey) -> None:
        """Watch a connection no longer; nothing where it is not watched."""
        with self._lock:
            if self._is_watched(key):
                self._selector.unregister(key.fd)

    def _is_watched(self, key: selectors.SelectorKey) -> bool:
        # By descriptor: a socket that was closed meanwhile has none any more to be found by.
        return self._selector.get_map().get(key.fd) == key

    def _run(self) -> None:
        while True:
            for key, _ in self._selector.select():
                if key.data is None:
                    return
                self._look(key)

    def _look(self, key: selectors.SelectorKey) -> None:
        """Tell the end of a connection from a next request that came early."""
        sock, caller = key.fileobj, key.data
        assert isinstance(sock, socket.socket)
        with self._lock:
            if not self._is_watched(key):
                return
            self._selector.unregister(key.fd)
            is_gone = _has_ended(sock)
        if not is_gone:
            return
        self._metrics.count("callers_gone")
        try:
            caller.hung_up()
        except Exception as error:
            events.UNEXPECTED_ERROR.log(where="hang-up", error=repr(error), exc_info=True)


def _has_ended(sock: socket.socket) -> bool:
    try:
        return sock.recv(1, _PEEK) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
