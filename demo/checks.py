"""What the demo's steps share."""


class WrongAnswer(Exception):
    """A step's answer was not what it must be."""


def require(holds: bool, complaint: str) -> None:
    """Check an answer.

    Raises:
        WrongAnswer: It does not hold.
    """
    if not holds:
        raise WrongAnswer(complaint)
