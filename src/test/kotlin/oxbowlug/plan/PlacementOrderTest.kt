package oxbowlug.plan

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import oxbowlug.resource.Resources
import oxbowlug.resource.resources
import oxbowlug.wire.ClassName
import oxbowlug.wire.ImageName
import oxbowlug.wire.JobId
import oxbowlug.wire.JobKind
import oxbowlug.wire.JobSpec
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineType
import oxbowlug.wire.Priority
import oxbowlug.wire.TeamName
import oxbowlug.wire.TypeName
import oxbowlug.wire.Zone

/**
 * A plan ends when its time is over, however many jobs wait, and each job is reached within a bounded number of plans.
 * Found by the review: a plan took more than half of the leader's lease.
 */
internal class PlacementOrderTest {
    private val zone = Zone("a")
    private val type = MachineType(TypeName("g8"), 64.0, 8.0, 256.0, 200.0, 2.0, 20.0, 8.0, 30.0, listOf(zone))

    /** Advances by 1 with each job that is placed. */
    private var now = 0L

    private fun timeFor(jobs: Long) = PlanTimeLimit(jobs) { now }

    private fun job(
        id: String,
        priority: Priority = Priority.PRODUCTION,
        gpus: Double = 1.0,
        kind: JobKind = JobKind.ARRAY,
        tasks: Int = 1,
    ): PlanJob {
        val spec =
            JobSpec(
                JobId(id),
                ClassName("x"),
                TeamName("red"),
                kind,
                priority,
                tasks,
                1.0,
                gpus,
                1.0,
                ImageName("img"),
                0.0,
                null,
                null,
                oneZone = false,
                spread = false,
                spot = false,
                runEstimateS = 20.0,
                checkpointS = 0.0,
                saveS = 0.0,
                deadlineS = null,
            )
        return PlanJob(spec.id, spec, PendingTasks.first(tasks), emptyMap(), 1.0, 20.0, null, 1.0, emptySet())
    }

    /** One empty machine, and nothing to rent. */
    private fun snapshot(jobs: List<PlanJob>): Snapshot {
        val machine =
            PlanMachine(
                MachineId("m1"),
                type,
                zone,
                false,
                type.resources(),
                0.0,
                emptySet(),
                emptySet(),
                true,
                Resources.NONE,
                lazyOf(emptyList()),
                null,
            )
        return Snapshot(
            jobs,
            listOf(machine),
            mapOf(TeamName("red") to PlanTeam(1e9, 1e9, 0.0, 0.0)),
            listOf(type),
            emptyMap(),
            horizonS = 30.0,
            postponeFactor = 100.0,
            idleSlotPenalty = 1.0,
            maxRentals = 0,
        )
    }

    private fun placements(
        jobs: List<PlanJob>,
        guaranteedGpus: Double = 0.0,
    ) = jobs.map { JobPlacement(it, PlanTeam(1e9, 1e9, 0.0, guaranteedGpus)) }

    /** The ids of the jobs in the [order] in which they are placed, and where the next plan goes on. */
    private data class Reached(
        val order: List<String>,
        val resumeAfter: JobId?,
    )

    /** Guaranteed work that is placed before other work has a mark after its id. */
    private fun placed(
        placements: List<JobPlacement>,
        timeLimit: PlanTimeLimit,
        resumeAfter: JobId? = null,
    ): Reached {
        val order = ArrayList<String>()
        val last =
            PlacementOrder(placements, timeLimit, resumeAfter).forEach { placement, guaranteedOnly ->
                now++
                order.add(placement.job.id.value + if (guaranteedOnly) " guaranteed" else "")
            }
        return Reached(order, last)
    }

    @Test
    fun `with enough time guaranteed work comes first and then all jobs by rank`() {
        val jobs = listOf(job("c"), job("a"), job("b", gpus = 4.0))
        val (order, last) = placed(placements(jobs, guaranteedGpus = 2.0), PlanTimeLimit.NONE)
        assertEquals(listOf("c guaranteed", "a guaranteed", "c", "a", "b"), order)
        assertNull(last)
    }

    @Test
    fun `when time is over the plan ends, and the next one goes on where it ended`() {
        val jobs = List(100) { job("run-%03d".format(it)) }
        val reached = HashSet<String>()
        var resumeAfter: JobId? = null
        var plans = 0
        do {
            val (order, last) = placed(placements(jobs), timeFor(jobs = 20), resumeAfter)
            assertTrue(order.size <= 20, "${order.size} jobs in a plan with time for 20")
            assertEquals(jobs.take(10).map { it.id.value }, order.take(10), "half of the time goes to the best ranks")
            reached += order
            resumeAfter = last
            plans++
        } while (reached.size < jobs.size && plans < 50)
        assertEquals(9, plans, "each plan reaches ten jobs more")
    }

    @Test
    fun `a plan reaches a job in turn even if its time is over at once`() {
        val jobs = List(5) { job("run-$it") }
        var resumeAfter: JobId? = null
        val reached = ArrayList<String>()
        repeat(5) {
            val (order, last) = placed(placements(jobs), timeFor(jobs = 0), resumeAfter)
            assertEquals(1, order.size)
            reached += order
            resumeAfter = last
        }
        assertEquals(jobs.map { it.id.value }, reached)
    }

    @Test
    fun `a job that fits is started although more urgent jobs that fit nowhere take all the time`() {
        val unfit = List(500) { job("run-%04d".format(it), gpus = 9.0) }
        val fitting = job("sound", Priority.LOW)
        var resumeAfter: JobId? = null
        var plans = 0
        var starts: List<Start>
        do {
            // Each look at the clock takes a step, and there is at least one before each job.
            val plan = Planner(snapshot(unfit + fitting), PlanTimeLimit(100) { now++ }, resumeAfter).plan()
            starts = plan.starts
            resumeAfter = plan.resumeAfter
            plans++
        } while (starts.isEmpty() && plans < 100)
        assertEquals(listOf(Start(fitting.id, 0, MachineId("m1"))), starts)
        assertTrue(plans <= 11, "started in plan $plans of 501 jobs with time for at least 50 in turn")
    }

    @Test
    fun `a gang is never split by the time limit`() {
        val gang = job("gang", kind = JobKind.GANG, tasks = 4, gpus = 2.0)
        assertEquals(4, Planner(snapshot(listOf(gang)), PlanTimeLimit(0) { now++ }, null).plan().starts.size)
    }
}
