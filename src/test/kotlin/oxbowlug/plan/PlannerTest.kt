package oxbowlug.plan

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
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

/** Single planning rounds on fleets of a few machines: placement, preemption, moves and rentals. */
internal class PlannerTest {
    private val zoneA = Zone("a")
    private val zoneB = Zone("b")
    private val g8 = MachineType(TypeName("g8"), 64.0, 8.0, 256.0, 200.0, 2.0, 20.0, 8.0, 30.0, listOf(zoneA, zoneB))
    private val c32 = MachineType(TypeName("c32"), 32.0, 0.0, 128.0, 35.0, 0.5, 1.2, 0.5, 30.0, listOf(zoneA, zoneB))

    private fun spec(
        id: String = "run-1",
        kind: JobKind = JobKind.SERVICE,
        priority: Priority = Priority.PRODUCTION,
        tasks: Int = 1,
        gpus: Double = 1.0,
        cores: Double = 5.0,
        team: String = "red",
    ) = JobSpec(
        JobId(id),
        ClassName("x"),
        TeamName(team),
        kind,
        priority,
        tasks,
        cores,
        gpus,
        16.0,
        ImageName("img"),
        4.0,
        null,
        null,
        oneZone = false,
        spread = false,
        spot = false,
        runEstimateS = 0.0,
        checkpointS = 0.0,
        saveS = 0.0,
        deadlineS = null,
    )

    private fun job(
        spec: JobSpec,
        deadlineInS: Double? = null,
    ) = PlanJob(
        spec.id,
        spec,
        PendingTasks.first(spec.tasks),
        emptyMap(),
        1.0,
        spec.runEstimateS,
        deadlineInS,
        1.0,
        emptySet(),
    )

    private fun machine(
        name: String,
        zone: Zone = zoneA,
        type: MachineType = g8,
        spot: Boolean = false,
        images: Set<ImageName> = emptySet(),
        placedTasks: List<PlacedTask> = emptyList(),
    ): PlanMachine {
        val used = placedTasks.fold(Resources.NONE) { sum, placedTask -> sum + placedTask.need }
        return PlanMachine(
            MachineId(name),
            type,
            zone,
            spot,
            type.resources() - used,
            0.0,
            images,
            emptySet(),
            placedTasks.isEmpty(),
            placedTasks.filter { it.stopping }.fold(Resources.NONE) { sum, placedTask -> sum + placedTask.need },
            lazyOf(placedTasks),
        )
    }

    private fun placedTask(
        spec: JobSpec,
        ranS: Double = 100.0,
    ) = PlacedTask(AttemptId(TaskId(spec.id, 0), 1), spec, mapOf(zoneA to 1), ranS, 2.0, 1.0, stopping = false)

    private fun teams(
        red: PlanTeam = PlanTeam(1e9, 1e9, 0.0, 0.0),
        blue: PlanTeam = PlanTeam(1e9, 1e9, 0.0, 0.0),
    ) = mapOf(TeamName("red") to red, TeamName("blue") to blue)

    private fun snapshot(
        jobs: List<PlanJob>,
        machines: List<PlanMachine>,
        teams: Map<TeamName, PlanTeam> = teams(),
        refusals: Map<MachineKind, CapacityRefusal> = emptyMap(),
        mayMove: Boolean = false,
        guaranteeWeight: Double = 0.0,
    ) = Snapshot(
        jobs,
        machines,
        teams,
        listOf(g8, c32),
        refusals,
        30.0,
        100.0,
        1.0,
        maxRentals = Int.MAX_VALUE,
        resourcesPerGpu = Resources(5.5, 0.0, 18.0),
        mayMove = mayMove,
        guaranteeWeight = guaranteeWeight,
    )

    private fun plan(snapshot: Snapshot) = Planner(snapshot).plan()

    @Test
    fun `a task is placed on the machine that has its image`() {
        val machineWithImage = machine("m2", images = setOf(ImageName("img")))
        val plan = plan(snapshot(listOf(job(spec())), listOf(machine("m1"), machineWithImage)))
        assertEquals(listOf(Start(JobId("run-1"), 0, MachineId("m2"))), plan.starts)
    }

    @Test
    fun `a machine without GPUs is rented for a task without GPUs`() {
        val plan = plan(snapshot(listOf(job(spec(gpus = 0.0, cores = 2.0))), emptyList()))
        assertEquals(
            setOf(c32.name),
            plan.rentals.keys
                .map { it.type }
                .toSet(),
        )
    }

    @Test
    fun `only as many machines are rented as the tasks fill, and none of a refused kind`() {
        val jobs = listOf(job(spec(tasks = 17)))
        val blocked = mapOf(MachineKind(g8.name, zoneA, false) to CapacityRefusal(blocked = true, penalty = 1.0))
        val plan = plan(snapshot(jobs, emptyList(), refusals = blocked))
        assertEquals(mapOf(MachineKind(g8.name, zoneB, false) to 3), plan.rentals)
        assertEquals(0, plan.unplaced)
    }

    @Test
    fun `a spread job puts at most half of its tasks, rounded up, into one zone`() {
        val spread = spec(tasks = 5).copy(spread = true)
        val plan = plan(snapshot(listOf(job(spread)), listOf(machine("m1", zoneA), machine("m2", zoneB))))
        val perMachine = plan.starts.groupingBy { it.machine.value }.eachCount()
        assertEquals(setOf(2, 3), perMachine.values.toSet())
    }

    @Test
    fun `a one-zone job stays in its zone when another has more free capacity`() {
        // Guards against choosing the zone with the most free capacity although the job allows only another zone.
        val fixed = spec(tasks = 2).copy(oneZone = true, zone = zoneB)
        val plan =
            plan(snapshot(listOf(job(fixed)), listOf(machine("m1", zoneA), machine("m2", zoneA), machine("m3", zoneB))))
        assertEquals(listOf("m3", "m3"), plan.starts.map { it.machine.value })
        val rented = plan(snapshot(listOf(job(fixed)), listOf(machine("m1", zoneA))))
        assertEquals(
            setOf(zoneB),
            rented.rentals.keys
                .map { it.zone }
                .toSet(),
        )
    }

    @Test
    fun `a team's limit counts the tasks that are or may be on machines`() {
        val red = PlanTeam(1e9, 4.0, 0.0, 0.0).apply { add(Resources(0.0, 3.0, 0.0)) }
        val plan = plan(snapshot(listOf(job(spec(tasks = 3))), listOf(machine("m1")), teams(red = red)))
        assertEquals(1, plan.starts.size)
        assertTrue(plan.rentals.isEmpty())
    }

    @Test
    fun `a gang starts all its tasks or none`() {
        val gang = spec(kind = JobKind.GANG, tasks = 9)
        val tooFewMachines = plan(snapshot(listOf(job(gang)), listOf(machine("m1"))))
        assertEquals(emptyList<Start>(), tooFewMachines.starts)
        val enoughMachines = plan(snapshot(listOf(job(gang)), listOf(machine("m1"), machine("m2"))))
        assertEquals(9, enoughMachines.starts.size)
    }

    @Test
    fun `jobs are ranked by priority, then by the penalty of postponing them`() {
        val late = job(spec("run-1", JobKind.ARRAY, Priority.NORMAL).copy(runEstimateS = 50.0), deadlineInS = 60.0)
        val early = job(spec("run-2", JobKind.ARRAY, Priority.NORMAL).copy(runEstimateS = 50.0), deadlineInS = 600.0)
        val urgent = job(spec("run-3", priority = Priority.HIGH))
        val order = Ranking.order(listOf(early, late, urgent), 30.0, 100.0).map { it.id.value }
        assertEquals(listOf("run-3", "run-1", "run-2"), order)
        assertEquals(100.0 * (30.0 + 50.0 - 60.0), Ranking.postponementPenalty(late, 30.0, 100.0), 1e-9)
        assertEquals(0.0, Ranking.postponementPenalty(early, 30.0, 100.0), 1e-9)
    }

    @Test
    fun `preemption follows the protocol's rules`() {
        val borrowing = PlanTeam(1e9, 1e9, 0.0, 8.0).apply { add(Resources(0.0, 16.0, 0.0)) }
        val within = PlanTeam(1e9, 1e9, 0.0, 32.0).apply { add(Resources(0.0, 8.0, 0.0)) }
        val none = PlanTeam(1e9, 1e9, 0.0, 0.0)

        class Case(
            val name: String,
            val job: Priority,
            val preemptedTask: Priority,
            val red: PlanTeam,
            val blue: PlanTeam,
            val isAllowed: Boolean,
        )
        val cases =
            listOf(
                Case("higher over lower", Priority.HIGH, Priority.NORMAL, none, none, true),
                Case("never over the same", Priority.HIGH, Priority.HIGH, none, none, false),
                Case("never over a higher one", Priority.NORMAL, Priority.HIGH, none, none, false),
                Case("guaranteed over any borrowed", Priority.NORMAL, Priority.PRODUCTION, within, borrowing, true),
                Case(
                    "guaranteed not over guaranteed of the same",
                    Priority.NORMAL,
                    Priority.NORMAL,
                    within,
                    within,
                    false,
                ),
                Case("borrowed not over lower guaranteed", Priority.HIGH, Priority.NORMAL, borrowing, within, false),
                Case(
                    "guaranteed over guaranteed of lower priority",
                    Priority.HIGH,
                    Priority.NORMAL,
                    within,
                    within,
                    true,
                ),
            )
        for (case in cases) {
            val job = job(spec(priority = case.job))
            val preemptedTask = placedTask(spec("run-9", priority = case.preemptedTask, team = "blue"))
            val teams = teams(case.red, case.blue)
            val guaranteed = case.red.guarantees(job.spec.resources())
            assertEquals(case.isAllowed, Preemption.mayStop(job, guaranteed, preemptedTask, teams), case.name)
        }
    }

    @Test
    fun `work within a guarantee is placed before borrowing work that has waited longer`() {
        // Guards against a loop of preemptions: the borrowing job was started on the capacity that had been freed for
        // the other job, and stopped for it again in the next plan, twenty times a second.
        val red = PlanTeam(1e9, 1e9, 0.0, 8.0)
        val blue = PlanTeam(1e9, 1e9, 0.0, 2.0).apply { add(Resources(0.0, 4.0, 0.0)) }
        val borrowed =
            PlanJob(
                JobId("run-1"),
                spec("run-1", gpus = 8.0, team = "blue"),
                PendingTasks.first(1),
                emptyMap(),
                90.0,
                0.0,
                null,
                1.0,
                emptySet(),
            )
        val withinGuarantee = job(spec("run-2", JobKind.ARRAY, Priority.NORMAL, gpus = 8.0))
        val plan = plan(snapshot(listOf(borrowed, withinGuarantee), listOf(machine("m1")), teams(red, blue)))
        assertEquals(listOf(Start(JobId("run-2"), 0, MachineId("m1"))), plan.starts)
        assertEquals(emptyList<AttemptId>(), plan.stops)
    }

    @Test
    fun `a task without GPUs uses the capacity freed for it instead of preempting another task`() {
        // Guards against a loop of preemptions: each plan stopped one more task for the job but never started the job,
        // so the stopped tasks started and were stopped in turn, twenty times a second.
        val image = setOf(ImageName("img"))
        val others =
            (1..8).map { index ->
                placedTask(spec("run-9$index", priority = Priority.HIGH, cores = 8.0), ranS = 0.0)
            }
        val afterPreemption = machine("m1", images = image, placedTasks = others.drop(1))
        val full = machine("m2", images = image, placedTasks = others)
        val small = job(spec("run-1", gpus = 0.0, cores = 4.0).copy(types = listOf(g8.name)))
        val plan = plan(snapshot(listOf(small), listOf(afterPreemption, full)))
        assertEquals(listOf(Start(JobId("run-1"), 0, MachineId("m1"))), plan.starts)
        assertEquals(emptyList<AttemptId>(), plan.stops)
    }

    @Test
    fun `a task that is being moved is placed before jobs submitted meanwhile`() {
        // Guards against a large array taking the target's capacity between the stop of moved replicas and their next
        // start, which left the replicas waiting for a machine to boot.
        val moved =
            job(spec("run-2", priority = Priority.HIGH, gpus = 8.0)).let {
                PlanJob(it.id, it.spec, it.pending, it.tasksByZone, 0.0, 0.0, null, 1.0, emptySet(), isMoving = true)
            }
        val urgent = job(spec("run-1", gpus = 8.0))
        val plan = plan(snapshot(listOf(urgent, moved), listOf(machine("m1"))))
        assertEquals(listOf(Start(JobId("run-2"), 0, MachineId("m1"))), plan.starts)
    }

    @Test
    fun `capacity that is being freed is not freed a second time`() {
        val preempted = placedTask(spec("run-9", JobKind.ARRAY, Priority.NORMAL, gpus = 8.0))
        val host = machine("m1", placedTasks = listOf(preempted))
        val first = plan(snapshot(listOf(job(spec())), listOf(host)))
        assertEquals(listOf(preempted.attempt), first.stops)
        val stopping =
            PlacedTask(preempted.attempt, preempted.spec, mapOf(zoneA to 1), 100.0, 2.0, 1.0, stopping = true)
        val other = placedTask(spec("run-8", JobKind.ARRAY, Priority.NORMAL, gpus = 0.0))
        val second = plan(snapshot(listOf(job(spec())), listOf(machine("m1", placedTasks = listOf(stopping, other)))))
        assertEquals(emptyList<AttemptId>(), second.stops)
        assertEquals(setOf(MachineId("m1")), second.reserved)
    }

    @Test
    fun `replicas without GPUs are moved from a machine whose GPUs they strand`() {
        val small =
            (1..10).map { index ->
                placedTask(spec("run-2$index", gpus = 0.0, cores = 6.0).copy(types = listOf(g8.name, c32.name)))
            }
        val withStrandedGpus = machine("m1", placedTasks = small)
        val target = machine("m2", type = c32, images = setOf(ImageName("img")), placedTasks = listOf(small.last()))
        val gpuJob = job(spec("run-1", priority = Priority.HIGH))
        val plan = plan(snapshot(listOf(gpuJob), listOf(withStrandedGpus, target)))
        assertEquals(1, plan.stops.size)
        assertEquals(mapOf(plan.stops.single() to MachineId("m2")), plan.targets)
        assertEquals(emptyMap<MachineKind, Int>(), plan.rentals)
        val planWithoutHosts = plan(snapshot(listOf(gpuJob), listOf(machine("m1", placedTasks = small))))
        assertEquals(emptyList<AttemptId>(), planWithoutHosts.stops)
    }

    @Test
    fun `a nearly empty machine is emptied if its replicas fit on other machines`() {
        val image = setOf(ImageName("img"))
        val nearlyEmpty = machine("m1", placedTasks = listOf(placedTask(spec("run-8"))), images = image)
        val other = machine("m2", placedTasks = listOf(placedTask(spec("run-9", gpus = 6.0))), images = image)
        val plan = plan(snapshot(emptyList(), listOf(nearlyEmpty, other), mayMove = true))
        assertEquals(MachineId("m1"), plan.move?.machine)
        assertEquals(
            listOf(MachineId("m2")),
            plan.move
                ?.targets
                ?.values
                ?.toList(),
        )
        val young = machine("m1", placedTasks = listOf(placedTask(spec("run-8"), ranS = 5.0)), images = image)
        val otherYoung = machine("m2", placedTasks = listOf(placedTask(spec("run-9"), ranS = 5.0)), images = image)
        assertEquals(null, plan(snapshot(emptyList(), listOf(young, otherYoung), mayMove = true)).move)
    }

    @Test
    fun `a silent machine is replaced only if its replicas' downtime costs more than a boot`() {
        // Guards against leaving the replicas of hung machines down until the machines' leases expire.
        class Case(
            val weight: Double,
            val downS: Double,
            val type: MachineType,
            val isCheaper: Boolean,
        )
        val cases =
            listOf(
                Case(weight = 1.0, downS = 5.0, type = g8, isCheaper = false),
                Case(weight = 4.0, downS = 5.0, type = g8, isCheaper = true),
                Case(weight = 1.0, downS = 5.0, type = c32, isCheaper = true),
                Case(weight = 0.0, downS = 6.0, type = c32, isCheaper = false),
                Case(weight = 100.0, downS = -1.0, type = g8, isCheaper = false),
            )
        for (case in cases) {
            val isCheaper =
                Pricing.isReplacementCheaper(case.weight, case.downS, case.type, spot = false, listOf(g8, c32))
            assertEquals(case.isCheaper, isCheaper, "${case.weight} for ${case.downS} s on ${case.type.name}")
        }
    }

    @Test
    fun `a job that can use spot machines leaves scarce on-demand capacity to other jobs`() {
        // Guards against arrays filling the on-demand machines when the cloud refuses more of them: replicas had to
        // wait for preemptions although spot machines were available.
        val array = spec("run-1", JobKind.ARRAY, Priority.NORMAL, tasks = 8).copy(spot = true, runEstimateS = 100.0)
        val refused =
            listOf(zoneA, zoneB).associate {
                MachineKind(g8.name, it, false) to
                    CapacityRefusal(blocked = true, penalty = 1.0)
            }
        val host = machine("m1")
        val spotPreferred = plan(snapshot(listOf(job(array, 300.0)), listOf(host), refusals = refused))
        assertEquals(
            1,
            spotPreferred.rentals.entries
                .single { it.key.spot }
                .value,
        )
        assertEquals(emptyList<Start>(), spotPreferred.starts)
        val late = plan(snapshot(listOf(job(array, 100.0)), listOf(machine("m1")), refusals = refused))
        assertEquals(8, late.starts.size, "waiting for a boot would make it late")
        val short = job(array.copy(runEstimateS = 20.0), 300.0)
        val brief = plan(snapshot(listOf(short), listOf(machine("m1")), refusals = refused))
        assertEquals(8, brief.starts.size, "the tasks end before a spot machine is up")
        val notRefused = plan(snapshot(listOf(job(array, 300.0)), listOf(machine("m1"))))
        assertEquals(8, notRefused.starts.size, "the cloud refuses no on-demand machines")

        fun guaranteed() = teams(red = PlanTeam(1e9, 1e9, 0.0, 8.0))
        val withinGuarantee = plan(snapshot(listOf(job(array, 300.0)), listOf(machine("m1")), guaranteed(), refused))
        assertEquals(8, withinGuarantee.starts.size, "work within a guarantee doesn't wait for a spot machine")
        // Guards against a spot machine's lower price delaying work within a guarantee by an image fetch.
        val hostWithImage = machine("m1", images = setOf(ImageName("img")))
        val spot = machine("m2", spot = true)
        val large = job(array.copy(imageGb = 40.0), 300.0)
        val nextToImage = plan(snapshot(listOf(large), listOf(hostWithImage, spot), guaranteed(), refused, false, 1.5))
        assertEquals(setOf(MachineId("m1")), nextToImage.starts.map { it.machine }.toSet())
    }

    @Test
    fun `a replica is not preempted only to save an image fetch`() {
        // Guards against preempting a recently started replica so that a task starts where its image is: the replica's
        // own image fetch then took longer than the fetch that was saved. Seen on a day with little load.
        fun plan(
            kind: JobKind,
            priority: Priority,
        ): Plan {
            val placedTask = placedTask(spec("run-9", kind, priority, gpus = 8.0, team = "blue"), ranS = 0.0)
            val machineWithImage = machine("m1", images = setOf(ImageName("img")), placedTasks = listOf(placedTask))
            val red = PlanTeam(1e9, 1e9, 0.0, 8.0)
            val blue = PlanTeam(1e9, 1e9, 0.0, 0.0).also { it.add(placedTask.need) }
            return plan(snapshot(listOf(job(spec())), listOf(machineWithImage, machine("m2")), teams(red, blue)))
        }
        assertEquals(emptyList<AttemptId>(), plan(JobKind.SERVICE, Priority.PRODUCTION).stops)
        assertEquals(1, plan(JobKind.ARRAY, Priority.NORMAL).stops.size, "a recently started array task may be")
    }
}
