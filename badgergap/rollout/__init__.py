"""A change that goes through a group stage by stage, judged by what clients get, undone when worse."""
