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

/** A task that holds part of a machine. */
internal class PlacedTask(
    val attempt: AttemptId,
    val spec: JobSpec,
    /** Where its job's tasks are. */
    val tasksByZone: Map<Zone, Int>,
    /** How long it has run; 0 while it waits for its image. */
    val ranS: Double,
    /** How long its image takes to fetch. */
    private val fetchS: Double,
    val weight: Double,
    /** On its way out: its room comes free by itself. */
    val stopping: Boolean,
    /** Its job's own, or the more urgent one of a job that needs it. */
    val priority: Priority = spec.priority,
) {
    val team: TeamName get() = spec.team
    val need: Resources = spec.resources()

    /** Time to stop it with its work saved. */
    val saveS: Double get() = if (spec.savesWork) spec.saveS else 0.0

    /**
     * Time until it runs again elsewhere. On about every other machine that it may go to it has to fetch its image. A
     * replica is missed meanwhile: priced at less, a young one was stopped for a start that saved only its own fetch.
     */
    val restartS: Double get() = fetchS * if (spec.kind == JobKind.SERVICE) REPLICA_FETCHES else TASK_FETCHES

    /** Work that stopping it would lose. */
    val lossS: Double get() = if (spec.savesWork) spec.saveS else ranS

    private companion object {
        const val TASK_FETCHES = 0.5
        const val REPLICA_FETCHES = 2.0
    }
}
