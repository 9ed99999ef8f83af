"""Keeps what fails on a leader from ending its process.

Jobs are stored and reports are repeated, so what makes one leader fail would make the
next one fail too. A job whose handling raises an exception is set aside for the
leader's term, and a duty that raises one is skipped until it is due again.
"""

import pathlib
import traceback

from fulmarrouter.cluster import decision_log
from fulmarrouter.cluster import model


def describe(error: Exception) -> dict[str, object]:
    """Returns the fields of a log line on an exception: what it is, and where."""
    frames = traceback.extract_tb(error.__traceback__)
    where = ""
    if frames:
        where = (
            f"{pathlib.PurePath(frames[-1].filename).name}:{frames[-1].lineno}"
        )
    return {"error": repr(error), "where": where}


class JobsSetAside:
    """Jobs whose handling has failed, which get no new runs in this term.

    Args:
        decisions: Receives the decisions to be logged.
    """

    def __init__(self, decisions: decision_log.DecisionBuffer) -> None:
        self._decisions = decisions
        self._jobs: set[model.JobId] = set()

    def __contains__(self, job: model.JobId) -> bool:
        return job in self._jobs

    def add(self, job: model.JobId, error: Exception) -> None:
        """Sets a job aside."""
        self._jobs.add(job)
        self._decisions.add("job set aside", job=job, **describe(error))
