"""The loss of a site: a plan made beforehand, failure detection, load shedding, and a gradual return.

Decisions without I/O, built on `fleet` and `starting`.  The choice of a worker stays with the module: sites
affect only which workers it sees and which calls are admitted before it.
"""
