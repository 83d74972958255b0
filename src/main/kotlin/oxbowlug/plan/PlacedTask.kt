package oxbowlug.plan

import oxbowlug.resource.Resources
import oxbowlug.resource.fetchS
import oxbowlug.resource.resources
import oxbowlug.wire.AttemptId
import oxbowlug.wire.JobKind
import oxbowlug.wire.JobSpec
import oxbowlug.wire.Priority
import oxbowlug.wire.TeamName
import oxbowlug.wire.Zone

/** A task that holds resources of a machine: it runs, is about to run, or is being stopped. */
internal class PlacedTask(
    val attempt: AttemptId,
    val spec: JobSpec,
    /** Tasks of its job that are or may be on machines, by zone. */
    val tasksByZone: Map<Zone, Int>,
    /** Run time so far; 0 while the machine fetches its image. */
    val ranS: Double,
    /** Time to fetch its image. */
    private val fetchS: Double,
    /** Tardiness weight of its job's class. */
    val weight: Double,
    /** It is being stopped already, so its resources come free without a preemption. */
    val stopping: Boolean,
    /** Priority of its job, or the more urgent one of a job that depends on it. */
    val priority: Priority = spec.priority,
) {
    val team: TeamName get() = spec.team
    val need: Resources = spec.resources()

    /** Time to stop it with its work saved. */
    val saveS: Double get() = if (spec.savesWork) spec.saveS else 0.0

    /**
     * Expected time until it runs on another machine. About half of the possible machines have to fetch its image. A
     * replica counts for more, since it is down meanwhile: with less, the planner stopped a young replica for a start
     * that saved only the starting task's image fetch.
     */
    val restartS: Double get() = fetchS * if (spec.kind == JobKind.SERVICE) REPLICA_FETCH_FACTOR else TASK_FETCH_FACTOR

    /** Seconds of work that are lost if it is stopped. */
    val lossS: Double get() = if (spec.savesWork) spec.saveS else ranS

    private companion object {
        const val TASK_FETCH_FACTOR = 0.5
        const val REPLICA_FETCH_FACTOR = 2.0
    }
}
