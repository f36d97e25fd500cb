"""The decisions of limpethollow.

Nothing here starts a thread, opens a socket, reads a clock, sleeps or draws from a global random
source. The time, the events and the random source come in as arguments; what to do comes out as
typed actions. The daemon only carries events in and actions out.
"""
