"""`python -m swiftwell`."""

from swiftwell.cli.main import main

main()
