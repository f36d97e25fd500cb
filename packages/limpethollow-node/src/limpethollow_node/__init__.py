"""The limpethollow daemon: carries events into the decisions and their actions out."""
