"""Entry point of the program: daemons and operators' commands.

A daemon takes exactly one argument, its settings file, and needs no library to
parse that. The command-line library is imported only for operators' commands,
which keeps daemons small.
"""

import enum
import pathlib
import sys

from fulmarrouter import codes
from fulmarrouter import errors


class Daemon(enum.Enum):
    """Commands whose only argument is a settings file.

    All but `keeper-init` run until they are stopped. `keeper-init` stores the
    first membership in an empty data folder.
    """

    ENTRY = "entry"
    KEEPER = "keeper"
    STANDALONE = "standalone"
    KEEPER_INIT = "keeper-init"


DAEMON_NAMES = tuple(item.value for item in Daemon)
# The command and its settings file.
DAEMON_ARGUMENT_COUNT = 2


def run_daemon(daemon: Daemon, path: pathlib.Path) -> None:
    """Runs a daemon until it is stopped, or initializes a keeper."""
    from fulmarrouter import logs
    from fulmarrouter import processes
    from fulmarrouter import settings as settings_lib

    logs.configure()
    settings = settings_lib.load(path)
    match daemon, settings:
        case Daemon.ENTRY, settings_lib.EntrySettings():
            processes.run(processes.build_entry(settings))
        case Daemon.KEEPER, settings_lib.KeeperSettings():
            processes.run(processes.build_keeper(settings))
        case Daemon.STANDALONE, settings_lib.StandaloneSettings():
            processes.run(processes.build_standalone(settings))
        case Daemon.KEEPER_INIT, settings_lib.KeeperSettings():
            founded = processes.found_quorum(settings)
            logs.new_logger().info("keeper initialized", founded=founded)
        case _:
            raise errors.SettingsError(
                [
                    f"{path}: role: given {settings.role.value!r}, command is"
                    f" {daemon.value!r}"
                ]
            )


def main() -> int:
    """Runs the program and returns its exit code."""
    arguments = sys.argv[1:]
    try:
        if arguments and arguments[0] in DAEMON_NAMES:
            if len(arguments) != DAEMON_ARGUMENT_COUNT:
                print(
                    f"usage: fulmarrouter {arguments[0]} SETTINGS",
                    file=sys.stderr,
                )
                return codes.ExitCode.USAGE
            run_daemon(Daemon(arguments[0]), pathlib.Path(arguments[1]))
            return codes.ExitCode.OK
        from fulmarrouter import cli

        return cli.run(arguments)
    except errors.FulmarError as error:
        print(f"fulmarrouter: {error}", file=sys.stderr)
        return error.exit_code


def run_main() -> None:
    """Runs the program and exits with its code; entry point of the binary."""
    sys.exit(main())


if __name__ == "__main__":
    run_main()
