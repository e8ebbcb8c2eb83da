"""The MQTT front: versions 5.0 and 3.1.1, as an endpoint for clients and as a subscriber of brokers."""
