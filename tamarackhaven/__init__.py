"""A router for services whose servers hold state per key and own it alone."""

from tamarackhaven.errors import ErrorKind, TamarackhavenError

__version__ = "0.1.0"

__all__ = ["ErrorKind", "TamarackhavenError", "__version__"]
