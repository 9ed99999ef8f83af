"""Loads of the load simulation: the workers, and the jobs that arrive."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class JobShape:
    """Means of the distributions from which the jobs of a kind are drawn.

    Attributes:
        width: Tasks per step.
        millicores: Request of a task.
        work_ms: Duration of a task that isn't slowed.
    """

    width: float
    millicores: float
    work_ms: float


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A load and the workers that run it.

    Attributes:
        seconds: Time during which jobs arrive.
        millicores: Capacity of a worker; every third has 1.5 times as much.
        urgent_per_s: Arrival rate of small urgent jobs.
        filling_per_s: Arrival rate of large jobs of filling steps.
        burst_factor: Factor on filling_per_s in the middle third.
        serving_share: Share of the capacity that the serving jobs submitted at
            the start request.
        heavy_effect_share: Share of the filling images that have a heavy effect
            on the serving images of their resource group.
        failing_workers: Workers on which all but serving tasks fail.
        stalled_workers: Workers on which no task but a serving one proceeds.
        failing_job_share: Share of the jobs whose tasks always fail; these
            don't count in the results, nor do serving jobs.
        serving_per_s: Arrival rate of serving jobs.
        serving_lifetime_s: Mean time until a serving job is cancelled; 0 if
            they are never cancelled.
        urgent: Shape of the urgent jobs.
        filling: Shape of the filling jobs.
        filling_at_start: Filling jobs submitted with the first serving jobs;
            they don't count in the results.
        arrivals_start_s: When jobs begin to arrive. Workers get tasks from time
            0 on, so tasks run before the arrivals only if this is positive.
        same_arrivals: Whether a seed gives the same jobs whatever the workers
            report, so that two policies can be compared in pairs.
        serving_width: Mean number of tasks of a serving job.
        serving_millicores: Mean request of a serving task.
    """

    seconds: float = 30.0
    workers: int = 24
    millicores: int = 64_000
    urgent_per_s: float = 3.0
    filling_per_s: float = 2.5
    burst_factor: float = 1.0
    serving_share: float = 0.85
    heavy_effect_share: float = 0.5
    failing_workers: int = 0
    stalled_workers: int = 0
    failing_job_share: float = 0.0
    serving_per_s: float = 0.0
    serving_lifetime_s: float = 0.0
    urgent: JobShape = JobShape(6, 4600, 640)
    filling: JobShape = JobShape(8, 7000, 2200)
    filling_at_start: int = 0
    arrivals_start_s: float = 0.0
    same_arrivals: bool = False
    serving_width: float = 6.0
    serving_millicores: float = 13_000


SCENARIO_BY_NAME = {
    # A third of a deployment of 270 workers, on which large urgent tasks
    # compete with serving tasks for the workers with enough free capacity.
    "large": Scenario(
        workers=90,
        urgent_per_s=1.72,
        filling_per_s=2.07,
        serving_share=0.9,
        serving_per_s=0.1,
        serving_lifetime_s=70.0,
        urgent=JobShape(9.4, 13_000, 1000),
        filling=JobShape(39, 7000, 2200),
        serving_width=24.0,
    ),
    # A third of a deployment of 176 workers with wide filling jobs. In the
    # middle third, more of them arrive than the idle processors can run.
    "wide": Scenario(
        workers=58,
        urgent_per_s=3.0,
        filling_per_s=2.85,
        burst_factor=1.4,
        serving_per_s=0.1,
        serving_lifetime_s=70.0,
        urgent=JobShape(10, 8_100, 640),
        filling=JobShape(20, 7000, 2200),
        serving_width=14.0,
    ),
    # Small serving tasks claim most processors, and most filling images slow
    # some of their images strongly.
    "dense": Scenario(
        millicores=32_000,
        urgent_per_s=2.0,
        filling_per_s=2.6,
        burst_factor=1.4,
        serving_share=0.8,
        serving_per_s=0.1,
        serving_lifetime_s=70.0,
        heavy_effect_share=0.65,
        urgent=JobShape(6, 2300, 1000),
        filling=JobShape(8, 3500, 2200),
        filling_at_start=6,
        arrivals_start_s=8.0,
        same_arrivals=True,
        serving_millicores=6400,
    ),
    "steady": Scenario(),
    "burst": Scenario(burst_factor=2.0),
    "overload": Scenario(filling_per_s=6.0),
    "failing workers": Scenario(failing_workers=2),
    "stalled workers": Scenario(stalled_workers=2),
    "failing jobs": Scenario(failing_job_share=0.08),
}
