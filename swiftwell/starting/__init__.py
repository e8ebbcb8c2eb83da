"""Starting together: who reads the list of workers, and when.  Stands on `fleet`, which knows none of it."""
