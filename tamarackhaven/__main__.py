"""The command line, ``tamarackhaven SUBCOMMAND``."""

import sys

import defopt

from tamarackhaven import __version__, porcelain
from tamarackhaven.errors import ErrorKind, TamarackhavenError

COMMANDS = [
    porcelain.daemon,
    porcelain.control,
    porcelain.apply,
    porcelain.delete,
    porcelain.get,
    porcelain.watch,
    porcelain.explain,
    porcelain.trace,
    porcelain.losses,
    porcelain.ends,
    porcelain.status,
    porcelain.member_add,
    porcelain.member_promote,
    porcelain.member_remove,
    porcelain.check,
]


def main(arguments=None):
    """Run a subcommand; on an error print it and exit with its exit code.

    Parameters
    ----------
    arguments : list of str or None
        The command line without the program's name; None for ``sys.argv``.

    Raises
    ------
    SystemExit
        With the exit code of the error; 0 on an interrupt or a broken pipe.
    """
    try:
        defopt.run(
            COMMANDS,
            argv=arguments,
            version=f"tamarackhaven {__version__}",
            argparse_kwargs={"prog": "tamarackhaven"},
        )
    except TamarackhavenError as error:
        _exit_with_error(error)
    except KeyboardInterrupt:
        sys.exit(0)
    except BrokenPipeError:
        sys.exit(0)
    except Exception as error:
        _exit_with_error(
            TamarackhavenError(ErrorKind.INTERNAL, f"{type(error).__name__}: {error}")
        )


def _exit_with_error(error):
    print(str(error), file=sys.stderr)
    sys.exit(error.answer.exit_code)


if __name__ == "__main__":
    main()
