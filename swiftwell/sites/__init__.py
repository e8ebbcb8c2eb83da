"""The loss of a site: a plan worked out beforehand, what tells a loss, what is refused first, a paced return.

Decisions without I/O, on the ground of `fleet` and `starting`.  Worker choice stays the module's: sites enter
through which workers it is shown and what is admitted ahead of it.
"""
