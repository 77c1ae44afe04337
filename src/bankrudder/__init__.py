"""bankrudder: a rollout service for reinforcement learning on regulated data."""

__version__ = "0.1.0"
