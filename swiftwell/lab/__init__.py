"""The lab: an emulator of what gateways serve, in virtual time, around the real engine."""
