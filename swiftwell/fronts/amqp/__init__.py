"""The AMQP 0-9-1 front: consumes triggers from the queues of brokers."""
