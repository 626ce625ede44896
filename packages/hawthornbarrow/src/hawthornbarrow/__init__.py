"""Decision logic, links and ledger shared by the hawthornbarrow processes."""

__all__ = ["__version__"]

__version__ = "0.1.0"
