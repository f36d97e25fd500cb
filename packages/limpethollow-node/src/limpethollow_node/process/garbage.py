"""When the interpreter looks for garbage."""

import gc

# Objects made, less those freed, before the young ones are looked at. A search over 87 shards makes
# some 600 that live until its answer; at the interpreter's own 700 nearly each search is held up.
_YOUNG = 10_000
# Looks at the younger objects before the older ones are looked at too; the interpreter's values.
_MIDDLE, _OLD = 10, 10


class QuietStart:
    """Loads the program without looking for garbage, and never looks at what was loaded.

    What a program loads stays until it ends, 60,000 objects that every full look goes through. On
    0.12 of a core such a look held searches up by 5 to 16 ms of their 120, about one in five.

    Usage:
        with QuietStart():
            import everything
    """

    __slots__ = ()

    def __enter__(self) -> "QuietStart":
        gc.disable()
        return self

    def __exit__(self, *_: object) -> None:
        gc.freeze()
        gc.set_threshold(_YOUNG, _MIDDLE, _OLD)
        gc.enable()
