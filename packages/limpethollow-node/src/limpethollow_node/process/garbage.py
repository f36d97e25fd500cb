"""When the interpreter looks for garbage."""

import gc

# Objects made, less those freed, before the young ones are looked at. A search over 87 shards makes
# 820 that live until its answer; at the interpreter's own 700 each search is held up.
_YOUNG = 10_000
# Looks at the younger objects before the older ones are looked at too; the interpreter's values.
_MIDDLE, _OLD = 10, 10
# Young objects for which a look between requests is worth its while: those of one search.
_WORTH_A_LOOK = 500
# Looks at the youngest objects for each one at those that have outlived it.
_YOUNG_LOOKS = 16


def look_between_requests(*, busy: bool) -> None:
    """Look for garbage while nobody waits; called a few times a second.

    Otherwise the interpreter does so in the middle of whatever makes the 10,000th object, which is
    most often a search: on 0.12 of a core three of 59 stood still for 24 to 33 ms (clocks put into
    the code for a play), and none since.

    Args:
        busy: Whether a request is under way.
    """
    young, looks, _ = gc.get_count()
    if not busy and young > _WORTH_A_LOOK:
        gc.collect(1 if looks >= _YOUNG_LOOKS else 0)


class QuietStart:
    """Loads the program without looking for garbage, and never looks at what was loaded.

    What a program loads stays until it ends: 30,000 objects, through which a full look takes 3.6 ms
    of a core, and 30 on 0.12 of one. Two small fleets played side by side, with and without: 29 and
    15 of 178 wide searches in time, 49 and 26 of 259 on a heavy day.

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
