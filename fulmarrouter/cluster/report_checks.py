"""Tells reports of workers from those of other writers."""

from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests


def is_from_worker(
    configuration: model.Configuration | None,
    known: fleet_lib.WorkerView | None,
    report: requests.WorkerReport,
    has_runs: bool,
) -> bool:
    """Whether a report comes from a worker of a service.

    A report that names no service of the configuration must not be taken for the
    next incarnation of a worker, whose runs would start elsewhere while they go
    on. A worker whose service has been removed is still heard.

    Args:
        configuration: The current configuration.
        known: The worker that is known under the report's id.
        report: The report.
        has_runs: Whether runs are assigned to this incarnation. A new leader
            knows its workers only by them.
    """
    if configuration is None or configuration.may_name(report.service):
        return True
    if known is None:
        return has_runs
    return (
        known.key.incarnation == report.incarnation
        and known.report.service == report.service
    )
