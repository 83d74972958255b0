package oxbowlug.plan

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import oxbowlug.plan.index.ChangedMachines
import oxbowlug.resource.Resources
import oxbowlug.resource.resources
import oxbowlug.wire.AttemptId
import oxbowlug.wire.ClassName
import oxbowlug.wire.ImageName
import oxbowlug.wire.JobId
import oxbowlug.wire.JobKind
import oxbowlug.wire.JobSpec
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineType
import oxbowlug.wire.Priority
import oxbowlug.wire.TaskId
import oxbowlug.wire.TeamName
import oxbowlug.wire.TypeName
import oxbowlug.wire.Zone
import kotlin.random.Random

/** Cached costs and heaps give the same candidates as a full scan, however the plan changes machines in between. */
internal class PlacementCandidatesTest {
    private val zones = List(3) { Zone("z$it") }
    private val types =
        listOf(
            MachineType(TypeName("g8"), 64.0, 8.0, 256.0, 200.0, 2.0, 20.0, 8.0, 30.0, zones),
            MachineType(TypeName("c32"), 32.0, 0.0, 128.0, 35.0, 0.5, 1.2, 0.5, 30.0, zones),
        )
    private val images = List(3) { ImageName("img-$it") }

    private fun spec(
        random: Random,
        id: String,
        tasks: Int,
    ) = JobSpec(
        JobId(id),
        ClassName("x"),
        TeamName("red"),
        if (random.nextBoolean()) JobKind.SERVICE else JobKind.ARRAY,
        Priority.NORMAL,
        tasks,
        1.0 + random.nextInt(8),
        random.nextInt(2).toDouble(),
        8.0,
        images.random(random),
        2.0,
        null,
        null,
        oneZone = false,
        spread = random.nextBoolean(),
        spot = random.nextBoolean(),
        runEstimateS = 20.0,
        checkpointS = 0.0,
        saveS = 0.0,
        deadlineS = null,
    )

    private fun job(spec: JobSpec) =
        PlanJob(
            spec.id,
            spec,
            PendingTasks.first(spec.tasks),
            emptyMap(),
            1.0,
            spec.runEstimateS,
            null,
            1.0,
            emptySet(),
        )

    private fun machine(
        random: Random,
        index: Int,
    ): PlanMachine {
        val type = types.random(random)
        val spec = spec(random, "placed-$index", 1)
        val placedTasks =
            List(random.nextInt(3)) { number ->
                PlacedTask(AttemptId(TaskId(spec.id, number), 1), spec, emptyMap(), 50.0, 1.0, 1.0, stopping = false)
            }
        val used = placedTasks.fold(Resources.NONE) { sum, placedTask -> sum + placedTask.need }
        return PlanMachine(
            MachineId("host-%04d".format(index)),
            type,
            zones.random(random),
            random.nextInt(4) == 0,
            type.resources() - used,
            if (random.nextInt(3) ==
                0
            ) {
                20.0
            } else {
                0.0
            },
            setOf(images.random(random)),
            emptySet(),
            placedTasks.isEmpty(),
            Resources.NONE,
            lazyOf(placedTasks),
        )
    }

    private fun snapshot(
        jobs: List<PlanJob>,
        machines: List<PlanMachine>,
    ) = Snapshot(
        jobs,
        machines,
        emptyMap(),
        types,
        mapOf(
            MachineKind(types[1].name, zones[0], false) to CapacityRefusal(false, 0.5),
        ),
        30.0,
        100.0,
        1.0,
        maxRentals = Int.MAX_VALUE,
        resourcesPerGpu = Resources(5.0, 0.0, 16.0),
        guaranteeWeight = 1.0,
    )

    /** A random change that a plan may make to a machine between two tasks. */
    private fun changeRandomly(
        random: Random,
        machines: ArrayList<PlanMachine>,
        changedMachines: ChangedMachines,
    ) {
        val machine = machines[random.nextInt(machines.size)]
        when (random.nextInt(4)) {
            0 -> machine.allocate(Resources(1.0, 0.0, 4.0))
            1 -> machine.reservePendingFree(Resources(1.0, 0.0, 4.0))
            2 -> machine.placedTasks.firstOrNull { it.attempt !in machine.stopped }?.let(machine::stop)
            3 -> {
                val rented =
                    PlanMachine.forRental(
                        types.random(random),
                        zones.random(random),
                        random.nextBoolean(),
                        30.0,
                    )
                rented.recordChangesIn(changedMachines, machines.size)
                machines.add(rented)
            }
        }
    }

    @Test
    fun `the cheapest candidate is the one that a full scan finds`() {
        var compared = 0
        for (seed in 1L..60L) {
            val random = Random(seed)
            val machines = ArrayList(List(40) { machine(random, it) })
            val jobs = List(6) { job(spec(random, "job-$it", 30)) }
            val snapshot = snapshot(jobs, machines)
            val changedMachines = ChangedMachines()
            machines.forEachIndexed { index, machine -> machine.recordChangesIn(changedMachines, index) }
            val candidates = PlacementCandidates(machines, snapshot, changedMachines)
            for (job in jobs) {
                val need = job.spec.resources()
                val rule = ZoneRule(job)
                val guaranteed = random.nextBoolean()
                candidates.begin(job, need, guaranteed)
                for (task in 0 until job.pending.size) {
                    val capacity = Capacity.entries.random(random)
                    val candidate = candidates.cheapest(capacity, rule)
                    val scanned =
                        PlacementCandidates(machines, snapshot, ChangedMachines()).run {
                            begin(job, need, guaranteed)
                            cheapest(capacity, rule)
                        }
                    assertEquals(
                        scanned?.machine?.id,
                        candidate?.machine?.id,
                        "seed $seed, ${job.id}/$task in $capacity",
                    )
                    assertEquals(scanned?.cost, candidate?.cost, "seed $seed, ${job.id}/$task in $capacity")
                    compared++
                    if (candidate != null) {
                        if (capacity == Capacity.PENDING_FREE) {
                            candidate.machine.reservePendingFree(need)
                        } else {
                            candidate.machine.allocate(need)
                        }
                        rule.addTask(candidate.machine.zone)
                    }
                    repeat(random.nextInt(3)) { changeRandomly(random, machines, changedMachines) }
                }
            }
        }
        assertEquals(60 * 6 * 30, compared)
    }

    /** With work proportional to tasks times machines, a plan of 3,200 machines took longer than the leader's lease. */
    @Test
    fun `placing a job's tasks takes work by changed machines, not by tasks times all machines`() {
        val random = Random(3)
        val machines = ArrayList(List(3_000) { machine(random, it) })
        val tasks = 500
        val wanted = job(spec(random, "wide", tasks).copy(spread = false, cores = 1.0, gpus = 0.0))
        val changedMachines = ChangedMachines()
        machines.forEachIndexed { index, machine -> machine.recordChangesIn(changedMachines, index) }
        val candidates = PlacementCandidates(machines, snapshot(listOf(wanted), machines), changedMachines)
        val need = wanted.spec.resources()
        val rule = ZoneRule(wanted)
        candidates.begin(wanted, need, false)
        repeat(tasks) { candidates.cheapest(Capacity.FREE, rule)?.machine?.allocate(need) ?: error("no capacity left") }
        assertTrue(candidates.visited <= machines.size * 2 + tasks, "${candidates.visited} machines looked at")
    }

    @Test
    fun `the cost of a rental doesn't depend on what was computed before`() {
        for (seed in 1L..20L) {
            val random = Random(seed)
            val jobs = List(4) { job(spec(random, "job-$it", 40)) }
            val snapshot = snapshot(jobs, emptyList())
            val reusedCosts = RentalCosts(snapshot)
            repeat(200) {
                val job = jobs.random(random)
                val remaining = 1 + random.nextInt(40)
                val weight = random.nextInt(2).toDouble()
                val zoneFactor = { zone: Zone -> 1.0 + zones.indexOf(zone) * 0.01 }
                val rule = ZoneRule(job)
                val cached = reusedCosts.cheapest(job, job.spec.resources(), rule, remaining, weight, zoneFactor)
                val fresh =
                    RentalCosts(snapshot).cheapest(job, job.spec.resources(), rule, remaining, weight, zoneFactor)
                assertEquals(fresh?.kind, cached?.kind, "seed $seed, ${job.id}, $remaining remaining")
                assertEquals(fresh?.cost, cached?.cost, "seed $seed, ${job.id}, $remaining remaining")
            }
        }
    }
}
