"""Runs a daemon on the platform from a checkout: ``python3 src/bankrudder_node.py``."""

from bankrudder.platform import main

if __name__ == "__main__":
    main()
