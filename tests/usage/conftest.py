from outside.fixtures import gate, rows, store

__all__ = ["gate", "rows", "store"]
