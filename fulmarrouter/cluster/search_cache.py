"""What earlier searches for room have shown, so that none is repeated.

Load it answers: hundreds of waiting steps that fit nowhere on full workers. A
step that has found no room looks only at workers that have changed since; so
does one of the same kind that asks for at least as much.
"""

from collections.abc import Container
import dataclasses

from fulmarrouter import commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import state as state_lib

SearchKind = tuple[model.ServiceName, bool, bool, bool, str]

# Searches that are remembered of each kind; the oldest are dropped first.
MAX_FAILURES_PER_KIND = 16


@dataclasses.dataclass(frozen=True)
class Search:
    """One step's search for room.

    Attributes:
        is_starved: Whether it may also find room with a slow pace only.
        kept_from: Millicores from which on room is kept from it, 0 for none.
        only_interrupted: Whether it is for tasks only that have run before.
    """

    key: state_lib.StepKey
    service: model.ServiceName
    spec: model.StepSpec
    is_starved: bool = False
    protected_from_millicores: int = 0
    only_interrupted: bool = False

    @property
    def is_unconstrained(self) -> bool:
        """Whether only room and neighbours decide where the step fits."""
        spec = self.spec
        return not (
            spec.gang
            or spec.colocate
            or spec.required_label
            or spec.max_per_worker
        )

    @property
    def spans_workers(self) -> bool:
        """Whether several workers together decide whether it fits."""
        return self.spec.gang or self.spec.colocate

    @property
    def kind(self) -> SearchKind:
        """What it has in common with searches that find the same."""
        # What a filling task finds depends on its image too.
        image = self.spec.image if self.spec.fills else ""
        return (
            self.service,
            self.spec.fills,
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
    """Versions of the room index up to which searches have failed."""

    def __init__(self) -> None:
        self._version_by_step: dict[
            tuple[state_lib.StepKey, SearchKind], int
        ] = {}
        self._failures_by_kind: dict[SearchKind, list[_FailedSearch]] = {}

    def searched_version(self, search: Search) -> int:
        """Returns the version of the index that needs no further search."""
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
        """Notes that a step fits on no worker as of a version.

        Args:
            search: The step's search.
            version: The index's version.
            applies_to_kind: Whether other steps of the kind fit nowhere either.
        """
        if search.spans_workers:
            return
        self._version_by_step[search.key, search.kind] = version
        if not search.is_unconstrained or not applies_to_kind:
            return
        needs = search.spec.needs
        failures = self._failures_by_kind.setdefault(search.kind, [])
        # A newer failure of smaller tasks says all that an older one does.
        failures[:] = [
            item for item in failures if not needs.fits_in(item.needs)
        ]
        failures.append(_FailedSearch(needs, version))
        del failures[:-MAX_FAILURES_PER_KIND]

    def retain_steps(self, keys: Container[state_lib.StepKey]) -> None:
        """Drops what is known of steps that no longer wait."""
        for cached in list(self._version_by_step):
            if cached[0] not in keys:
                del self._version_by_step[cached]
