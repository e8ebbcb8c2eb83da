"""The settings document of a site, checked into frozen dataclasses."""
