"""Remembers failed searches for free capacity, so that none is repeated.

Designed for hundreds of waiting steps that fit nowhere on full workers. After a
failed search, a step checks only the workers that have changed since. The same
holds for other steps of the same kind that request at least as much.
"""

from collections.abc import Container
import dataclasses

from fulmarrouter import commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import state as state_lib

# Service, whether the tasks are filling, whether they run until they are cancelled,
# whether they are starved, whether gaps are protected from them, and the image of
# filling tasks.
SearchKind = tuple[model.ServiceName, bool, bool, bool, bool, str]

# Failed searches that are remembered per kind; the oldest are dropped first.
MAX_FAILURES_PER_KIND = 16


@dataclasses.dataclass(frozen=True)
class Search:
    """One step's search for free capacity.

    Attributes:
        is_starved: Whether its filling tasks may also go where they would run
            only at a slow pace.
        protected_from_millicores: Least free capacity of a worker that is
            protected from the tasks; 0 if none is.
        only_interrupted: Whether it covers only tasks that have run before.
    """

    key: state_lib.StepKey
    service: model.ServiceName
    spec: model.StepSpec
    is_starved: bool = False
    protected_from_millicores: int = 0
    only_interrupted: bool = False

    @property
    def is_unconstrained(self) -> bool:
        """Whether only capacity and interference decide where it fits."""
        spec = self.spec
        return not (
            spec.gang
            or spec.colocate
            or spec.required_label
            or spec.max_per_worker
        )

    @property
    def spans_workers(self) -> bool:
        """Whether several workers together decide if the step fits."""
        return self.spec.gang or self.spec.colocate

    @property
    def kind(self) -> SearchKind:
        """Key shared by searches under the same conditions."""
        # Whether a filling task fits depends on its image too.
        image = self.spec.image if self.spec.fills else ""
        return (
            self.service,
            self.spec.fills,
            self.spec.runs_until_cancelled,
            self.is_starved,
            self.protected_from_millicores > 0,
            image,
        )


@dataclasses.dataclass(frozen=True)
class _FailedSearch:
    """Tasks of this size fit on no worker as of a version."""

    needs: commands.Resources
    version: int


class SearchCache:
    """Versions of the capacity index up to which searches have failed."""

    def __init__(self) -> None:
        self._version_by_step: dict[
            tuple[state_lib.StepKey, SearchKind], int
        ] = {}
        self._failures_by_kind: dict[SearchKind, list[_FailedSearch]] = {}

    def searched_version(self, search: Search) -> int:
        """Returns the index version as of which the step is known not to fit.

        It is 0 if no failed search is known.
        """
        if search.spans_workers:
            return 0
        version = self._version_by_step.get((search.key, search.kind), 0)
        if not search.is_unconstrained:
            return version
        for failure in self._failures_by_kind.get(search.kind, ()):
            if failure.needs.fits_in(search.spec.needs):
                version = max(version, failure.version)
        return version

    def record_failure(
        self, search: Search, version: int, applies_to_kind: bool
    ) -> None:
        """Records that a step fits on no worker as of a version.

        Args:
            search: The step's search.
            version: Version of the capacity index.
            applies_to_kind: Whether the failure also holds for other steps of
                the kind that request at least as much.
        """
        if search.spans_workers:
            return
        self._version_by_step[search.key, search.kind] = version
        if not search.is_unconstrained or not applies_to_kind:
            return
        needs = search.spec.needs
        failures = self._failures_by_kind.setdefault(search.kind, [])
        # A newer failure of tasks of at most the same size replaces older ones.
        failures[:] = [
            item for item in failures if not needs.fits_in(item.needs)
        ]
        failures.append(_FailedSearch(needs, version))
        del failures[:-MAX_FAILURES_PER_KIND]

    def retain_steps(self, keys: Container[state_lib.StepKey]) -> None:
        """Drops the results of steps that are not among the given ones."""
        for cached in list(self._version_by_step):
            if cached[0] not in keys:
                del self._version_by_step[cached]
