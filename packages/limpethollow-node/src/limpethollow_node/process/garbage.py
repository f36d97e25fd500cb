"""When the interpreter looks for garbage."""

import gc

# Objects made, less those freed, before the young ones are looked at. A search over 87 shards makes
# some 600 that live until its answer; at the interpreter's own 700 nearly each search is held up.
_YOUNG = 10_000
# Looks at the younger objects before the older ones are looked at too; the interpreter's values.
_MIDDLE, _OLD = 10, 10


# Young objects for which a look between requests is worth its while. Going through so many takes
# 0.1 ms of a core, and 10,000 of them 3 ms, which are 25 on 0.12 of a core.
_WORTH_A_LOOK = 500
# Looks at the youngest objects for each one at those that have outlived it.
_YOUNG_LOOKS = 16


def look_between_requests(*, busy: bool) -> None:
    """Look for garbage while nobody waits; called a few times a second.

    Otherwise the interpreter does so in the middle of whatever makes the 10,000th object, which is
    most often a search.

    Args:
        busy: Whether a request is under way.
    """
    young, looks, _ = gc.get_count()
    if not busy and young > _WORTH_A_LOOK:
        gc.collect(1 if looks >= _YOUNG_LOOKS else 0)


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
