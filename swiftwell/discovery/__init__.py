"""Worker discovery: sources of the worker list, its age, and its copy on disk."""
