"""A gateway that runs calls on workers which load functions or models on demand."""

__version__ = "0.2.0"
