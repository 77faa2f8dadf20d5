"""The one program: ``tamarackhaven SUBCOMMAND``."""

import sys


def main():
    """Run the subcommand named on the command line."""
    sys.exit(2)


if __name__ == "__main__":
    main()
