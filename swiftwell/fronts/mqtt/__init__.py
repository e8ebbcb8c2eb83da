"""MQTT 5.0 and 3.1.1: codec (bytes), session (state), front (triggers and answers)."""
