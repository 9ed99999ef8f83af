"""Log lines that tell where tasks were assigned and how their runs ended.

Each failed or lost run has a line. For tasks that may not run on every worker, all
assignments and ends are told too, in one line for each command so that the lines
of a large one don't push out others.
"""

from fulmarrouter.cluster import decision_log
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import state as state_lib

# Outcomes for which each run is logged.
LOGGED_OUTCOMES = (
    model.Outcome.FAILED,
    model.Outcome.LOST,
    model.Outcome.REFUSED,
    model.Outcome.GANG_INCOMPLETE,
)
# Limit on the tasks in one line.
MAX_TASKS_PER_LINE = 32


class RunLog:
    """Logs the assignments and ends that an active leader applies.

    Args:
        decisions: Receives the decisions to be logged.
    """

    def __init__(self, decisions: decision_log.DecisionBuffer) -> None:
        self._decisions = decisions
        self._planned_at_by_index: dict[int, float] = {}

    def start_term(self) -> None:
        """Forgets what an earlier term planned."""
        self._planned_at_by_index = {}

    def on_planned(self, now: float, index: int) -> None:
        """Records when the assignments at a log index were proposed."""
        self._planned_at_by_index[index] = now

    def on_assigned(
        self,
        now: float,
        state: state_lib.State,
        index: int,
        command: log_commands.AssignTasks,
    ) -> None:
        """Logs the assignments of tasks that may not run on every worker."""
        planned_at = self._planned_at_by_index.pop(index, now)
        texts = [
            f"{item.task}/{item.run}@{item.worker}/{item.incarnation}"
            for item in command.assignments
            if _is_constrained(state, item.task)
        ]
        if texts:
            self._decisions.add(
                "tasks assigned",
                index=index,
                commit_ms=round(1000 * (now - planned_at)),
                **decision_log.list_fields(texts, MAX_TASKS_PER_LINE),
            )

    def on_ended(
        self,
        state: state_lib.State,
        index: int,
        command: log_commands.EndRuns,
    ) -> None:
        """Logs the ends of runs before they are applied."""
        texts = []
        for end in command.ends:
            self._log_late_success(state, index, end)
            if end.outcome in LOGGED_OUTCOMES:
                self._decisions.add(
                    "run ended",
                    task=end.task,
                    run=end.run,
                    worker=end.worker,
                    outcome=end.outcome.name,
                    index=index,
                )
            elif _is_constrained(state, end.task):
                texts.append(
                    f"{end.task}/{end.run}@{end.worker}/{end.incarnation}"
                    f":{end.outcome.name}"
                )
        if texts:
            self._decisions.add(
                "runs ended",
                index=index,
                **decision_log.list_fields(texts, MAX_TASKS_PER_LINE),
            )

    def _log_late_success(
        self, state: state_lib.State, index: int, end: log_commands.RunEnd
    ) -> None:
        """Logs a success of a run that had been taken for over."""
        found = state.find_task(end.task)
        if end.outcome is not model.Outcome.DONE or found is None:
            return
        task = found[3]
        if task.run == end.run and task.phase is not model.TaskPhase.WAITING:
            return
        self._decisions.add(
            "late success",
            task=end.task,
            run=end.run,
            worker=end.worker,
            incarnation=end.incarnation,
            latest_run=task.run,
            phase=task.phase.name,
            index=index,
        )


def _is_constrained(state: state_lib.State, task: model.TaskId) -> bool:
    """Whether a task's step limits the workers on which it may run."""
    found = state.find_task(task)
    if found is None:
        return False
    spec = state.spec_of(found[1])
    return bool(spec.max_per_worker or spec.required_label)
