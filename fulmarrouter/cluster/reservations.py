"""Workers that the leader has chosen for tasks, until the state assigns them.

The next planning round may come before an assignment has been applied. What is
planned counts like what is assigned until then.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import types

from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import model
from fulmarrouter.cluster import state as state_lib

_NO_RESERVATIONS: Mapping[int, "Reservation"] = types.MappingProxyType({})


@dataclasses.dataclass(frozen=True)
class Reservation:
    """The worker that a task is to be assigned to.

    Attributes:
        is_proposed: Whether the assignment has been proposed. It may be
            committed at any time from then on. Otherwise the task is being
            moved and has not stopped yet.
    """

    task: model.TaskId
    worker: model.WorkerId
    spec: model.StepSpec
    is_proposed: bool


class Reservations:
    """The reservations, by step and by worker.

    Args:
        fleet: Is told which workers' capacity changes.
    """

    def __init__(self, fleet: fleet_lib.Fleet) -> None:
        self._fleet = fleet
        self._by_index_by_step: dict[
            state_lib.StepKey, dict[int, Reservation]
        ] = {}
        self._by_task_by_worker: dict[
            model.WorkerId, dict[model.TaskId, Reservation]
        ] = {}
        self._by_task: dict[model.TaskId, Reservation] = {}
        self._moving: dict[model.TaskId, Reservation] = {}

    def add(self, reservation: Reservation) -> None:
        """Adds the reservation of a task, in place of an earlier one."""
        self.remove(reservation.task)
        key, index = _locate(reservation.task)
        self._by_task[reservation.task] = reservation
        self._by_index_by_step.setdefault(key, {})[index] = reservation
        self._by_task_by_worker.setdefault(reservation.worker, {})[
            reservation.task
        ] = reservation
        if not reservation.is_proposed:
            self._moving[reservation.task] = reservation
            self._fleet.mark_changed(reservation.worker)

    def remove(self, task: model.TaskId) -> None:
        """Drops the reservation of a task, if it has one."""
        reservation = self._by_task.pop(task, None)
        if reservation is None:
            return
        self._moving.pop(task, None)
        key, index = _locate(task)
        by_index = self._by_index_by_step[key]
        del by_index[index]
        if not by_index:
            del self._by_index_by_step[key]
        by_task = self._by_task_by_worker[reservation.worker]
        del by_task[task]
        if not by_task:
            del self._by_task_by_worker[reservation.worker]
        self._fleet.mark_changed(reservation.worker)

    def cancel_move(self, task: model.TaskId) -> None:
        """Drops the reservation of a task, unless it has been proposed."""
        if task in self._moving:
            self.remove(task)

    def moving(self) -> list[Reservation]:
        """Returns the reservations that have not been proposed."""
        return list(self._moving.values())

    def of_step(self, key: state_lib.StepKey) -> Mapping[int, Reservation]:
        """Returns the reservations of a step's tasks by their index."""
        return self._by_index_by_step.get(key, _NO_RESERVATIONS)

    def specs_on(self, worker: model.WorkerId) -> Iterator[model.StepSpec]:
        """Yields the steps of the tasks for which a worker is reserved."""
        for item in self._by_task_by_worker.get(worker, {}).values():
            yield item.spec

    def proposed_specs_on(
        self, worker: model.WorkerId
    ) -> Iterator[model.StepSpec]:
        """Yields the steps of the tasks whose assignment has been proposed."""
        for item in self._by_task_by_worker.get(worker, {}).values():
            if item.is_proposed:
                yield item.spec


def _locate(task: model.TaskId) -> tuple[state_lib.StepKey, int]:
    parts = model.parse_task_id(task)
    # Only tasks of open steps and of runs in the state are reserved.
    assert parts is not None
    job, occurrence, step, index = parts
    return state_lib.StepKey(job, occurrence, step), index
