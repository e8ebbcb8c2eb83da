"""`python -m swiftwell`."""

from swiftwell.gateway import standard_descriptors

standard_descriptors.open_closed()

from swiftwell.cli.main import main  # noqa: E402

main()
