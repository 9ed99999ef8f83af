"""Starts and stops the tasks of an entry, a keeper, or both in one process."""

import concurrent.futures
import pathlib
import random
import signal
import sys
import time

from fulmarrouter import commands
from fulmarrouter import consensus
from fulmarrouter import errors
from fulmarrouter import http_routes
from fulmarrouter import keeper as keeper_lib
from fulmarrouter import keeper_task
from fulmarrouter import leader_client
from fulmarrouter import logs
from fulmarrouter import messages
from fulmarrouter import metrics
from fulmarrouter import network
from fulmarrouter import proxy
from fulmarrouter import requests
from fulmarrouter import router_task
from fulmarrouter import routing
from fulmarrouter import settings as settings_lib
from fulmarrouter import state as state_lib
from fulmarrouter import storage as storage_lib
from fulmarrouter import tasks
from fulmarrouter import times
from fulmarrouter import web

# Web threads of an entry for everything but proxied requests, which have one
# thread each up to `max_in_progress`.
CONTROL_REQUEST_THREADS = 16
KEEPER_WEB_THREADS = 2
LEADERSHIP_TRANSFER_WAIT_S = 0.5
SESSION_END_TIMEOUT_S = 3.0
DRAIN_TIMEOUT_MARGIN_S = 2.0
# Each request passes through several threads. With the interpreter's default of
# 5 ms, a compute-bound thread could delay each of these switches by that long.
THREAD_SWITCH_INTERVAL_S = 0.00002


def found_quorum(settings: settings_lib.KeeperSettings) -> bool:
    """Stores the initial membership and state in an empty data folder.

    Returns:
        False if the folder already holds log entries or a snapshot; they are
        kept.
    """
    return storage_lib.initialize(
        pathlib.Path(settings.data_folder),
        messages.Membership(voters=settings.keepers),
        state_lib.encode(state_lib.State()),
    )


class KeeperProcess:
    """The tasks of a keeper and their supervisor."""

    def __init__(
        self, settings: settings_lib.KeeperSettings, serve_http: bool = True
    ) -> None:
        self._settings = settings
        self.registry = metrics.Registry()
        self.supervisor = tasks.Supervisor(f"keeper-{settings.name}")
        storage = storage_lib.Storage(pathlib.Path(settings.data_folder))
        saved = storage.load()
        self._replica = consensus.Replica(
            settings.name,
            saved,
            consensus.Timing(
                heartbeat=settings.election.heartbeat_ms / 1000,
                election_min=settings.election.timeout_min_ms / 1000,
                election_max=settings.election.timeout_max_ms / 1000,
            ),
            random.Random(),
            time.monotonic(),
        )
        core = keeper_lib.Keeper(
            self._replica, settings.leases.to_lease_settings(), random.Random()
        )
        addresses = {item.keeper: item.host_port for item in settings.keepers}
        self._task = keeper_task.KeeperTask(
            core, storage, addresses, self.registry
        )
        self._network = network.Network(
            settings.name,
            (settings.listen.host, settings.listen.port),
            self._task.post,
        )
        self._task.attach(self._network)
        self._web: web.WebTask | None = None
        if serve_http:
            app = http_routes.keeper_app(self.registry, self._knows_leader)
            self._web = web.WebTask(
                app,
                settings.listen_http,
                KEEPER_WEB_THREADS,
                settings_lib.Limits(),
            )

    def start(self) -> None:
        """Starts the tasks."""
        self.supervisor.start(self._network)
        self.supervisor.start(self._task)
        if self._web:
            self.supervisor.start(self._web)
        self.supervisor.log.info(
            "keeper started",
            keeper=self._settings.name,
            address=f"{self._settings.listen.host}:{self._settings.listen.port}",
            last_index=self._replica.log.last_index,
        )

    def drain(self) -> None:
        """Transfers leadership to another voter if this is the leader."""
        if self._replica.is_leader and len(self._replica.membership.voters) > 1:
            self._task.post(keeper_task.RequestLeadershipTransfer())
            time.sleep(LEADERSHIP_TRANSFER_WAIT_S)

    def _knows_leader(self) -> bool:
        return bool(self._replica.leader)


class EntryProcess:
    """The tasks of an entry and their supervisor."""

    def __init__(self, settings: settings_lib.EntrySettings) -> None:
        self._settings = settings
        self.registry = metrics.Registry()
        self.supervisor = tasks.Supervisor(f"entry-{settings.name}")
        self._client = leader_client.LeaderClient(
            settings.keepers, self.registry
        )
        self._network = network.Network(settings.name, None, self._client.post)
        self._client.attach(self._network)
        core = routing.Router(random.Random())
        self._router = router_task.RouterTask(
            settings, core, self._client, self.registry
        )
        self._routes = http_routes.EntryRoutes(
            settings,
            proxy.Proxy(settings, self._router, self._client, self.registry),
            self._router,
            self._client,
            self.registry,
        )
        self._web = web.WebTask(
            self._routes.build(),
            settings.listen_http,
            settings.limits.max_in_progress + CONTROL_REQUEST_THREADS,
            settings.limits,
        )

    def start(self) -> None:
        """Starts the tasks."""
        self.supervisor.start(self._network)
        self.supervisor.start(self._client)
        self.supervisor.start(self._router)
        self.supervisor.start(self._web)
        self.supervisor.log.info(
            "entry started",
            entry=self._settings.name,
            address=f"{self._settings.listen_http.host}"
            f":{self._settings.listen_http.port}",
        )

    def drain(self) -> None:
        """Stops taking requests, finishes those in progress, ends the session.

        The health check fails at once, but new requests are refused only after
        `drain_notice_ms`, so that callers have time to notice. The session is
        ended only if all requests have finished in time.
        """
        self._routes.is_stopping = True
        time.sleep(self._settings.limits.drain_notice_ms / 1000)
        drained: concurrent.futures.Future[None] = concurrent.futures.Future()
        self._router.post(router_task.Drain(drained))
        drain_timeout = (
            self._settings.leases.request_limit_ms / 1000
            + DRAIN_TIMEOUT_MARGIN_S
        )
        concurrent.futures.wait([drained], timeout=drain_timeout)
        self.supervisor.log.info("requests finished", drained=drained.done())
        if self._router.session and drained.done():
            command = commands.EndSession(
                self._router.session, False, times.wall_ms()
            )
            self._client.send_request(
                requests.Propose(command), SESSION_END_TIMEOUT_S
            ).result()


Process = KeeperProcess | EntryProcess


def run(processes: list[Process]) -> None:
    """Runs entries and keepers until a signal arrives or a task ends.

    Args:
        processes: Started in this order, drained and stopped in the reverse
            order. One with a failed task is stopped without draining.

    Raises:
        FulmarError: A task has failed.
    """
    sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
    root = tasks.Supervisor("root")

    def on_signal(signal_number: int, frame: object) -> None:
        del signal_number, frame
        for process in processes:
            process.supervisor.request_stop()
        root.request_stop()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    for process in processes:
        process.start()
        process.supervisor.set_stop_listener(root.request_stop)
    root.wait()
    failures: list[errors.FulmarError] = []
    for process in reversed(processes):
        if not process.supervisor.failed:
            process.drain()
        try:
            process.supervisor.stop_all()
        except errors.FulmarError as error:
            failures.append(error)
    logs.new_logger().info("stopped", failures=len(failures))
    if failures:
        raise failures[0]


def build_keeper(settings: settings_lib.KeeperSettings) -> list[Process]:
    """Returns the keeper of a process that runs only a keeper."""
    return [KeeperProcess(settings)]


def build_entry(settings: settings_lib.EntrySettings) -> list[Process]:
    """Returns the entry of a process that runs only an entry."""
    return [EntryProcess(settings)]


def build_standalone(
    settings: settings_lib.StandaloneSettings,
) -> list[Process]:
    """Returns a keeper and an entry that share one process.

    Initializes the keeper's data folder if it is empty.
    """
    address = commands.KeeperAddress(
        f"{settings.name}-keeper", settings.listen.host, settings.listen.port
    )
    keeper_settings = settings_lib.KeeperSettings(
        role=settings_lib.Role.KEEPER,
        name=address.keeper,
        domain=settings.domain,
        listen=settings.listen,
        listen_http=settings.listen_http,
        data_folder=settings.data_folder,
        keepers=(address,),
        leases=settings.leases,
        election=settings.election,
    )
    entry_settings = settings_lib.EntrySettings(
        role=settings_lib.Role.ENTRY,
        name=f"{settings.name}-entry",
        domain=settings.domain,
        listen_http=settings.listen_http,
        keepers=(address,),
        limits=settings.limits,
        leases=settings.leases,
    )
    found_quorum(keeper_settings)
    return [
        KeeperProcess(keeper_settings, serve_http=False),
        EntryProcess(entry_settings),
    ]
