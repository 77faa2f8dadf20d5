"""A router for services in which each key's state has exactly one owning server."""

from tamarackhaven.errors import ErrorKind, TamarackhavenError

__version__ = "0.1.0"

__all__ = ["ErrorKind", "TamarackhavenError", "__version__"]
