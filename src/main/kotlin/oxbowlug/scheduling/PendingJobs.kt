package oxbowlug.scheduling

import oxbowlug.cluster.ClusterState
import oxbowlug.cluster.Job
import oxbowlug.cluster.pendingTaskCount
import oxbowlug.cluster.pendingTasks
import oxbowlug.plan.PendingTasks
import oxbowlug.plan.PlanJob
import oxbowlug.plan.PlanTeam
import oxbowlug.port.Clock
import oxbowlug.record.Phase
import oxbowlug.resource.resources
import oxbowlug.wire.JobId
import oxbowlug.wire.JobKind
import oxbowlug.wire.MachineType
import oxbowlug.wire.TeamName
import oxbowlug.wire.TypeName

/** Builds the jobs of a planner snapshot: those with pending tasks, and reservations for forecast demand. */
internal class PendingJobs(
    private val cluster: ClusterState,
    private val clock: Clock,
    private val weights: ClassWeights,
    private val recordCapacity: RecordCapacity,
) {
    /** The planner's view of [job], or null if none of its tasks may be placed now. */
    fun of(
        job: Job,
        teams: Map<TeamName, PlanTeam>,
        zoneTaskCounts: ZoneTaskCounts,
        now: Long,
    ): PlanJob? {
        if (job.phase != Phase.ACTIVE || now < job.backoffUntil) return null
        val readyMs = job.readyMs ?: return null
        // A gang restarts only as a whole: its remaining tasks exit by themselves once their peers are gone.
        if (job.spec.kind == JobKind.GANG && job.attempts.isNotEmpty()) return null
        // The zone of a single-zone job is fixed by its attempts, so the job waits until their zones are known.
        if (job.spec.oneZone && !zoneTaskCounts.areAllZonesKnown(job)) return null
        val maxTasks = minOf(maxTasksWithinLimit(job, teams), recordCapacity.maxAdditionalTasks(job))
        val pendingCount = job.pendingTaskCount(maxTasks)
        if (pendingCount == 0) return null
        job.avoid.values.removeIf { it <= now }
        val nowMs = clock.wallMs()
        val waitedS = (nowMs - readyMs) / 1000.0
        return PlanJob(
            id = job.id,
            spec = job.spec,
            pending = PendingTasks(pendingCount) { job.pendingTasks(pendingCount) },
            tasksByZone = zoneTaskCounts.of(job),
            waitedS = waitedS,
            runEstimateS = if (job.spec.kind == JobKind.SERVICE) 0.0 else job.spec.runEstimateS,
            deadlineInS = job.latestEndMs?.let { (it - nowMs) / 1000.0 },
            weight = weights.of(job.spec.className),
            avoid = job.avoid.keys,
            isMoving = now < job.movingUntil,
            priority = job.priority,
        )
    }

    /** How many tasks of [job] a plan may place at most, by its team's limit. A gang starts all its tasks or none. */
    private fun maxTasksWithinLimit(
        job: Job,
        teams: Map<TeamName, PlanTeam>,
    ): Int {
        if (job.spec.kind == JobKind.GANG) return MAX_TASKS_PER_ROUND
        return minOf(MAX_TASKS_PER_ROUND, teams[job.spec.team]?.remainingTasks(job.need) ?: 0)
    }

    /**
     * Capacity reservations for the tasks that are expected to arrive while a machine boots: one job per class, of no
     * more tasks than its team's limit allows beside those that are placed already.
     */
    fun forecastReservations(
        types: Map<TypeName, MachineType>,
        teams: Map<TeamName, PlanTeam>,
    ): List<PlanJob> {
        val expected =
            cluster.forecast.expected(clock.wallMs()) { spec ->
                types.values.filter { spec.types == null || it.name in spec.types }.minOfOrNull { it.bootS } ?: 0.0
            }
        return expected.mapNotNull { forecast ->
            val example = forecast.example
            val team = teams[example.team] ?: return@mapNotNull null
            val reservedTasks = minOf(forecast.count, team.remainingTasks(example.resources()), MAX_RESERVED_TASKS)
            if (reservedTasks == 0) return@mapNotNull null
            PlanJob(
                id = JobId("reserve-${example.className}"),
                // With twice the tasks, the zone cap of a spread job doesn't limit the reservation.
                spec = example.copy(tasks = reservedTasks * 2, zone = null, oneZone = false),
                pending = PendingTasks.first(0),
                tasksByZone = emptyMap(),
                waitedS = 0.0,
                runEstimateS = 0.0,
                deadlineInS = null,
                weight = weights.of(example.className),
                avoid = emptySet(),
                reservedTasks = reservedTasks,
            )
        }
    }

    private companion object {
        const val MAX_TASKS_PER_ROUND = 512

        /** Twice as many still fit an `Int`. */
        const val MAX_RESERVED_TASKS = Int.MAX_VALUE / 2
    }
}
