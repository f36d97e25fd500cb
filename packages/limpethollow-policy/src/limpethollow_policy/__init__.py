"""Decision logic of limpethollow, free of side effects.

Nothing here starts a thread, opens a socket, reads a clock, sleeps or uses a global random source.
The current time, the events and the random source are arguments; the decisions are returned as
typed actions. The daemon delivers the events and executes the actions.
"""
