from outside.fixtures import gate, rows, store  # noqa: F401
