"""Settings: read from YAML and checked completely before a process starts."""

import enum
import pathlib
from typing import TYPE_CHECKING
from typing import Annotated
from typing import Any

import msgspec
import yaml

from fulmarrouter import commands
from fulmarrouter import errors

if TYPE_CHECKING:
    from fulmarrouter import leader

Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=600_000)]
Ipv4Host = Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}$")]
OptionalSocketAddress = Annotated[
    str, msgspec.Meta(pattern=r"^(\d{1,3}(\.\d{1,3}){3}:\d{1,5})?$")
]
FolderPath = Annotated[str, msgspec.Meta(min_length=1)]


class Role(enum.Enum):
    """Kind of process that a settings file is for."""

    ENTRY = "entry"
    KEEPER = "keeper"
    STANDALONE = "standalone"
    NODE = "node"


class ListenAddress(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An IPv4 address and a port to listen on."""

    host: Ipv4Host
    port: Port


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of an entry.

    Attributes:
        max_in_progress: Largest number of callers' requests in progress.
        max_connections: Largest number of open HTTP connections.
        max_body_bytes: Largest body of a request.
        max_header_bytes: Largest header of a request.
        max_answer_bytes: Largest body of an endpoint's answer.
        max_kept_answer_bytes: Largest body of an answer kept in the ledger.
        idle_timeout_ms: How long a caller's connection may be idle.
        drain_notice_ms: How long an entry that shuts down still accepts
            requests after its health check has begun to fail, so that callers
            have time to notice.
    """

    max_in_progress: Annotated[int, msgspec.Meta(ge=1, le=4096)] = 64
    max_connections: Annotated[int, msgspec.Meta(ge=16, le=10_000)] = 500
    max_body_bytes: Annotated[int, msgspec.Meta(ge=1024, le=1 << 23)] = 1 << 20
    max_header_bytes: Annotated[int, msgspec.Meta(ge=1024, le=1 << 18)] = (
        1 << 14
    )
    max_answer_bytes: Annotated[int, msgspec.Meta(ge=1024, le=1 << 28)] = (
        1 << 24
    )
    max_kept_answer_bytes: Annotated[int, msgspec.Meta(ge=0, le=1 << 20)] = (
        1 << 16
    )
    idle_timeout_ms: Milliseconds = 15_000
    drain_notice_ms: Milliseconds = 1_000


class Leases(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Lease lengths and heartbeat intervals; the same in every process.

    Attributes:
        request_limit_ms: Longest time that an entry lets a request run.
    """

    worker_lease_ms: Milliseconds = 6_000
    worker_heartbeat_ms: Milliseconds = 1_000
    entry_lease_ms: Milliseconds = 3_000
    entry_heartbeat_ms: Milliseconds = 300
    endpoint_lease_ms: Milliseconds = 3_000
    endpoint_heartbeat_ms: Milliseconds = 500
    request_limit_ms: Milliseconds = 10_000

    def to_lease_settings(self) -> "leader.LeaseSettings":
        """Returns the settings that the leader uses, in seconds."""
        # Imported here because only keepers and entries use this leader. The
        # nodes of a cluster load this module too, but have a leader of their own
        # in `fulmarrouter.cluster`.
        from fulmarrouter import leader

        return leader.LeaseSettings(
            worker_lease=self.worker_lease_ms / 1000,
            worker_heartbeat=self.worker_heartbeat_ms / 1000,
            entry_lease=self.entry_lease_ms / 1000,
            endpoint_lease=self.endpoint_lease_ms / 1000,
            endpoint_heartbeat=self.endpoint_heartbeat_ms / 1000,
            request_limit=self.request_limit_ms / 1000,
        )


class Election(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Heartbeat interval and election timeouts of the replicated log."""

    heartbeat_ms: Milliseconds = 100
    timeout_min_ms: Milliseconds = 1_000
    timeout_max_ms: Milliseconds = 2_000


KeeperAddresses = Annotated[
    tuple[commands.KeeperAddress, ...],
    msgspec.Meta(min_length=1, max_length=commands.MAX_KEEPERS),
]


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of an entry process."""

    role: Role
    name: commands.Name
    domain: commands.Name
    listen_http: ListenAddress
    keepers: KeeperAddresses
    limits: Limits = Limits()
    leases: Leases = Leases()


class KeeperSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a keeper process."""

    role: Role
    name: commands.Name
    domain: commands.Name
    listen: ListenAddress
    listen_http: ListenAddress
    data_folder: FolderPath
    keepers: KeeperAddresses
    leases: Leases = Leases()
    election: Election = Election()


class StandaloneSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Settings of a keeper and an entry in one process."""

    role: Role
    name: commands.Name
    domain: commands.Name
    listen: ListenAddress
    listen_http: ListenAddress
    data_folder: FolderPath
    limits: Limits = Limits()
    leases: Leases = Leases()
    election: Election = Election()


class ToleratedLosses(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What may fail at the same time without ending the service."""

    vms: Annotated[int, msgspec.Meta(ge=0, le=4)] = 1
    failure_domains: Annotated[int, msgspec.Meta(ge=0, le=4)] = 0

    def voter_count(self) -> int:
        """Returns how many voting keepers that takes.

        A majority of them has to remain after the losses.
        """
        return 2 * max(1, self.vms, self.failure_domains) + 1


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a process of a cluster.

    Attributes:
        peer_port: Port for the other processes, the same on all VMs.
        callers: Address for callers, or an empty string.
        readiness: Address of the readiness check, or an empty string.
        control: Address for workers and operators, or an empty string.
        seeds: Addresses of processes that may know the others; only their
            hosts are used.
        found_deployment: Whether this is the first start of the deployment, in
            which its quorum may be founded.
        data_folder: Folder for the keeper's data, or an empty string if the
            process runs no keeper.
        max_worker_lease_ms: Longest lease that workers accept.
        checkpoint_restore_ms: Time that a task needs to resume from a
            checkpoint.
        job_retention_s: Time for which ended jobs can be asked for.
        stop_grace_s: Time between the request to stop and the kill.
        advice: Address of the placement advice service, or an empty string.
        direct_workers: Largest number of workers whose reports all go straight
            to the leader; with more, they go to the other keepers.
        reports_per_s: Target number of reports that workers send the leader
            per second, besides the reports of tasks that have ended.
        link_mbps: Rate of the VM's link in Mbit/s, 0 if it is unknown.
        job_id_hex_digits: Number of hexadecimal digits of each job's ID; with 0,
            an ID is any name of letters, digits, hyphens and underscores.
    """

    role: Role
    name: commands.Name
    domain: commands.Name
    host: Ipv4Host
    peer_port: Port
    callers: OptionalSocketAddress = ""
    readiness: OptionalSocketAddress = ""
    control: OptionalSocketAddress = ""
    metrics: OptionalSocketAddress = ""
    seeds: tuple[OptionalSocketAddress, ...] = ()
    found_deployment: bool = False
    data_folder: str = ""
    tolerated_losses: ToleratedLosses = ToleratedLosses()
    max_worker_lease_ms: Milliseconds = 6_000
    checkpoint_restore_ms: Milliseconds = 500
    job_retention_s: Annotated[float, msgspec.Meta(ge=1, le=86_400)] = 300.0
    stop_grace_s: Annotated[float, msgspec.Meta(ge=1, le=600)] = 6.0
    advice: OptionalSocketAddress = ""
    direct_workers: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 48
    reports_per_s: Annotated[int, msgspec.Meta(ge=10, le=100_000)] = 500
    link_mbps: Annotated[float, msgspec.Meta(ge=0, le=1_000_000)] = 0.0
    job_id_hex_digits: Annotated[int, msgspec.Meta(ge=0, le=128)] = 0
    election: Election = Election()


AnySettings = EntrySettings | KeeperSettings | StandaloneSettings | NodeSettings

SETTINGS_BY_ROLE: dict[str, type[AnySettings]] = {
    Role.ENTRY.value: EntrySettings,
    Role.KEEPER.value: KeeperSettings,
    Role.STANDALONE.value: StandaloneSettings,
    Role.NODE.value: NodeSettings,
}


def load(path: pathlib.Path) -> AnySettings:
    """Reads and checks a settings file.

    Raises:
        SettingsError: Holds every problem found, not just the first.
    """
    try:
        given = yaml.safe_load(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise errors.SettingsError([f"{path}: {error}"]) from error
    if not isinstance(given, dict):
        raise errors.SettingsError([f"{path}: expected a mapping of settings"])
    role = given.get("role")
    settings_type = SETTINGS_BY_ROLE.get(str(role))
    if settings_type is None:
        allowed = ", ".join(SETTINGS_BY_ROLE)
        raise errors.SettingsError(
            [f"{path}: role: given {role!r}, allowed are {allowed}"]
        )
    problems = _check_struct(settings_type, given, "")
    if not problems:
        settings = msgspec.convert(given, type=settings_type)
        problems = _check_cross_field(settings)
        if not problems:
            return settings
    raise errors.SettingsError([f"{path}: {problem}" for problem in problems])


def _check_struct(
    struct: type[msgspec.Struct], given: dict[Any, Any], prefix: str
) -> list[str]:
    """Checks each field on its own, so that every problem is reported."""
    problems: list[str] = []
    fields = {field.name: field for field in msgspec.structs.fields(struct)}
    for key in given:
        if key not in fields:
            allowed = ", ".join(fields)
            problems.append(
                f"{prefix}{key}: unknown key, allowed are {allowed}"
            )
    for name, field in fields.items():
        if name not in given:
            if field.required:
                problems.append(f"{prefix}{name}: missing")
            continue
        value = given[name]
        is_struct = isinstance(field.type, type) and issubclass(
            field.type, msgspec.Struct
        )
        if is_struct and isinstance(value, dict):
            problems += _check_struct(field.type, value, f"{prefix}{name}.")
            continue
        try:
            msgspec.convert(value, type=field.type)
        except msgspec.ValidationError as error:
            problems.append(
                f"{prefix}{name}: given {value!r}, allowed: {error}"
            )
    return problems


def _check_leases(leases: Leases) -> list[str]:
    problems: list[str] = []
    for kind in ("worker", "entry", "endpoint"):
        lease_ms = getattr(leases, f"{kind}_lease_ms")
        heartbeat_ms = getattr(leases, f"{kind}_heartbeat_ms")
        if lease_ms < 2 * heartbeat_ms:
            problems.append(
                f"leases.{kind}_lease_ms: given {lease_ms}, allowed: at least"
                f" twice leases.{kind}_heartbeat_ms ({heartbeat_ms})"
            )
    return problems


def _check_cross_field(settings: AnySettings) -> list[str]:
    """Checks the constraints that involve more than one key."""
    problems: list[str] = []
    if not isinstance(settings, NodeSettings):
        problems += _check_leases(settings.leases)
    if not isinstance(settings, EntrySettings):
        election = settings.election
        if election.timeout_max_ms <= election.timeout_min_ms:
            problems.append(
                f"election.timeout_max_ms: given {election.timeout_max_ms},"
                f" allowed: more than timeout_min_ms ({election.timeout_min_ms})"
            )
        if election.timeout_min_ms < 3 * election.heartbeat_ms:
            problems.append(
                f"election.timeout_min_ms: given {election.timeout_min_ms},"
                f" allowed: at least three times heartbeat_ms"
                f" ({election.heartbeat_ms})"
            )
    if isinstance(settings, EntrySettings | KeeperSettings):
        ids = [item.keeper for item in settings.keepers]
        if len(set(ids)) != len(ids):
            problems.append("keepers: a keeper is named twice")
    return problems
