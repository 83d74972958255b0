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

internal class PlannerTest {
    private val a = Zone("a")
    private val b = Zone("b")
    private val g8 = MachineType(TypeName("g8"), 64.0, 8.0, 256.0, 200.0, 2.0, 20.0, 8.0, 30.0, listOf(a, b))
    private val c32 = MachineType(TypeName("c32"), 32.0, 0.0, 128.0, 35.0, 0.5, 1.2, 0.5, 30.0, listOf(a, b))

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
        IntArray(spec.tasks) { it },
        emptyMap(),
        1.0,
        spec.runEstimateS,
        deadlineInS,
        1.0,
        emptySet(),
    )

    private fun machine(
        name: String,
        zone: Zone = a,
        type: MachineType = g8,
        spot: Boolean = false,
        images: Set<ImageName> = emptySet(),
        placedTasks: List<PlacedTask> = emptyList(),
    ): PlanMachine {
        val used = placedTasks.fold(Resources.NONE) { sum, tenant -> sum + tenant.need }
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
            placedTasks.filter { it.stopping }.fold(Resources.NONE) { sum, tenant -> sum + tenant.need },
            lazyOf(placedTasks),
        )
    }

    private fun tenant(
        spec: JobSpec,
        ranS: Double = 100.0,
    ) = PlacedTask(AttemptId(TaskId(spec.id, 0), 1), spec, mapOf(a to 1), ranS, 2.0, 1.0, stopping = false)

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
        mayRent = true,
        resourcesPerGpu = Resources(5.5, 0.0, 18.0),
        mayMove = mayMove,
        guaranteeWeight = guaranteeWeight,
    )

    private fun plan(snapshot: Snapshot) = Planner(snapshot).plan()

    @Test
    fun `the machine that has the image is taken`() {
        val holder = machine("m2", images = setOf(ImageName("img")))
        val plan = plan(snapshot(listOf(job(spec())), listOf(machine("m1"), holder)))
        assertEquals(listOf(Start(JobId("run-1"), 0, MachineId("m2"))), plan.starts)
    }

    @Test
    fun `a task without GPUs rents the machine without GPUs`() {
        val plan = plan(snapshot(listOf(job(spec(gpus = 0.0, cores = 2.0))), emptyList()))
        assertEquals(
            setOf(c32.name),
            plan.rentals.keys
                .map { it.type }
                .toSet(),
        )
    }

    @Test
    fun `only what the plan fills is rented, and a kind that refuses is not asked`() {
        val jobs = listOf(job(spec(tasks = 17)))
        val blocked = mapOf(MachineKind(g8.name, a, false) to CapacityRefusal(blocked = true, penalty = 1.0))
        val plan = plan(snapshot(jobs, emptyList(), refusals = blocked))
        assertEquals(mapOf(MachineKind(g8.name, b, false) to 3), plan.rentals)
        assertEquals(0, plan.unplaced)
    }

    @Test
    fun `a spread job puts at most half of its tasks, rounded up, into one zone`() {
        val spread = spec(tasks = 5).copy(spread = true)
        val plan = plan(snapshot(listOf(job(spread)), listOf(machine("m1", a), machine("m2", b))))
        val perMachine = plan.starts.groupingBy { it.machine.value }.eachCount()
        assertEquals(setOf(2, 3), perMachine.values.toSet())
    }

    @Test
    fun `a one-zone job follows its zone, also when another has more room`() {
        // Found by the simulation: the roomiest zone was fixed although the job allowed only the other one.
        val fixed = spec(tasks = 2).copy(oneZone = true, zone = b)
        val plan = plan(snapshot(listOf(job(fixed)), listOf(machine("m1", a), machine("m2", a), machine("m3", b))))
        assertEquals(listOf("m3", "m3"), plan.starts.map { it.machine.value })
        val rented = plan(snapshot(listOf(job(fixed)), listOf(machine("m1", a))))
        assertEquals(
            setOf(b),
            rented.rentals.keys
                .map { it.zone }
                .toSet(),
        )
    }

    @Test
    fun `a team's limit counts what is and may be there`() {
        val red = PlanTeam(1e9, 4.0, 0.0, 0.0).apply { add(Resources(0.0, 3.0, 0.0)) }
        val plan = plan(snapshot(listOf(job(spec(tasks = 3))), listOf(machine("m1")), teams(red = red)))
        assertEquals(1, plan.starts.size)
        assertTrue(plan.rentals.isEmpty())
    }

    @Test
    fun `a gang starts as a whole or not at all`() {
        val gang = spec(kind = JobKind.GANG, tasks = 9)
        val partly = plan(snapshot(listOf(job(gang)), listOf(machine("m1"))))
        assertEquals(emptyList<Start>(), partly.starts)
        val wholly = plan(snapshot(listOf(job(gang)), listOf(machine("m1"), machine("m2"))))
        assertEquals(9, wholly.starts.size)
    }

    @Test
    fun `ranking goes by priority, then by what postponing costs`() {
        val late = job(spec("run-1", JobKind.ARRAY, Priority.NORMAL).copy(runEstimateS = 50.0), deadlineInS = 60.0)
        val early = job(spec("run-2", JobKind.ARRAY, Priority.NORMAL).copy(runEstimateS = 50.0), deadlineInS = 600.0)
        val urgent = job(spec("run-3", priority = Priority.HIGH))
        val order = Ranking.order(listOf(early, late, urgent), 30.0, 100.0).map { it.id.value }
        assertEquals(listOf("run-3", "run-1", "run-2"), order)
        assertEquals(100.0 * (30.0 + 50.0 - 60.0), Ranking.postponement(late, 30.0, 100.0), 1e-9)
        assertEquals(0.0, Ranking.postponement(early, 30.0, 100.0), 1e-9)
    }

    @Test
    fun `preemption keeps to the protocol's cases`() {
        val borrowing = PlanTeam(1e9, 1e9, 0.0, 8.0).apply { add(Resources(0.0, 16.0, 0.0)) }
        val within = PlanTeam(1e9, 1e9, 0.0, 32.0).apply { add(Resources(0.0, 8.0, 0.0)) }
        val none = PlanTeam(1e9, 1e9, 0.0, 0.0)

        class Case(
            val name: String,
            val job: Priority,
            val preemptedTask: Priority,
            val red: PlanTeam,
            val blue: PlanTeam,
            val may: Boolean,
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
            val preemptedTask = tenant(spec("run-9", priority = case.preemptedTask, team = "blue"))
            val teams = teams(case.red, case.blue)
            val guaranteed = case.red.guarantees(job.spec.resources())
            assertEquals(case.may, Preemption.mayStop(job, guaranteed, preemptedTask, teams), case.name)
        }
    }

    @Test
    fun `work inside a guarantee goes before what is borrowed, however long that has waited`() {
        // Found on the bench: the borrowed job took the room that had been made for the other one, was stopped for it
        // again in the next plan, and so on twenty times a second.
        val red = PlanTeam(1e9, 1e9, 0.0, 8.0)
        val blue = PlanTeam(1e9, 1e9, 0.0, 2.0).apply { add(Resources(0.0, 4.0, 0.0)) }
        val borrowed =
            PlanJob(
                JobId("run-1"),
                spec("run-1", gpus = 8.0, team = "blue"),
                intArrayOf(0),
                emptyMap(),
                90.0,
                0.0,
                null,
                1.0,
                emptySet(),
            )
        val covered = job(spec("run-2", JobKind.ARRAY, Priority.NORMAL, gpus = 8.0))
        val plan = plan(snapshot(listOf(borrowed, covered), listOf(machine("m1")), teams(red, blue)))
        assertEquals(listOf(Start(JobId("run-2"), 0, MachineId("m1"))), plan.starts)
        assertEquals(emptyList<AttemptId>(), plan.stops)
    }

    @Test
    fun `a task without GPUs takes the room made for it rather than stop one more task`() {
        // Found on the bench: it stopped one task in each plan, never started itself, and the stopped ones started and
        // were stopped in turn, twenty times a second.
        val image = setOf(ImageName("img"))
        val others =
            (1..8).map { index ->
                tenant(spec("run-9$index", priority = Priority.HIGH, cores = 8.0), ranS = 0.0)
            }
        val roomMade = machine("m1", images = image, placedTasks = others.drop(1))
        val full = machine("m2", images = image, placedTasks = others)
        val small = job(spec("run-1", gpus = 0.0, cores = 4.0).copy(types = listOf(g8.name)))
        val plan = plan(snapshot(listOf(small), listOf(roomMade, full)))
        assertEquals(listOf(Start(JobId("run-1"), 0, MachineId("m1"))), plan.starts)
        assertEquals(emptyList<AttemptId>(), plan.stops)
    }

    @Test
    fun `a task that is being moved goes before what came meanwhile`() {
        // Found on the bench: a large array took the room between the stop of some replicas and their next start, and
        // they waited for a machine to boot.
        val moved =
            job(spec("run-2", priority = Priority.HIGH, gpus = 8.0)).let {
                PlanJob(it.id, it.spec, it.pending, it.tasksByZone, 0.0, 0.0, null, 1.0, emptySet(), isMoving = true)
            }
        val urgent = job(spec("run-1", gpus = 8.0))
        val plan = plan(snapshot(listOf(urgent, moved), listOf(machine("m1"))))
        assertEquals(listOf(Start(JobId("run-2"), 0, MachineId("m1"))), plan.starts)
    }

    @Test
    fun `room that comes free is not made a second time`() {
        val stopping = tenant(spec("run-9", JobKind.ARRAY, Priority.NORMAL, gpus = 8.0))
        val host = machine("m1", placedTasks = listOf(stopping))
        val first = plan(snapshot(listOf(job(spec())), listOf(host)))
        assertEquals(listOf(stopping.attempt), first.stops)
        val leaving = PlacedTask(stopping.attempt, stopping.spec, mapOf(a to 1), 100.0, 2.0, 1.0, stopping = true)
        val other = tenant(spec("run-8", JobKind.ARRAY, Priority.NORMAL, gpus = 0.0))
        val second = plan(snapshot(listOf(job(spec())), listOf(machine("m1", placedTasks = listOf(leaving, other)))))
        assertEquals(emptyList<AttemptId>(), second.stops)
        assertEquals(setOf(MachineId("m1")), second.reserved)
    }

    @Test
    fun `replicas without GPUs make way on a machine whose GPUs they strand`() {
        val small =
            (1..10).map { index ->
                tenant(spec("run-2$index", gpus = 0.0, cores = 6.0).copy(types = listOf(g8.name, c32.name)))
            }
        val stranded = machine("m1", placedTasks = small)
        val room = machine("m2", type = c32, images = setOf(ImageName("img")), placedTasks = listOf(small.last()))
        val gpuJob = job(spec("run-1", priority = Priority.HIGH))
        val plan = plan(snapshot(listOf(gpuJob), listOf(stranded, room)))
        assertEquals(1, plan.stops.size)
        assertEquals(mapOf(plan.stops.single() to MachineId("m2")), plan.targets)
        assertEquals(emptyMap<MachineKind, Int>(), plan.rentals)
        val nowhere = plan(snapshot(listOf(gpuJob), listOf(machine("m1", placedTasks = small))))
        assertEquals(emptyList<AttemptId>(), nowhere.stops)
    }

    @Test
    fun `a nearly empty machine is emptied when its replicas fit elsewhere`() {
        val image = setOf(ImageName("img"))
        val crumbs = machine("m1", placedTasks = listOf(tenant(spec("run-8"))), images = image)
        val other = machine("m2", placedTasks = listOf(tenant(spec("run-9", gpus = 6.0))), images = image)
        val plan = plan(snapshot(emptyList(), listOf(crumbs, other), mayMove = true))
        assertEquals(MachineId("m1"), plan.move?.machine)
        assertEquals(
            listOf(MachineId("m2")),
            plan.move
                ?.targets
                ?.values
                ?.toList(),
        )
        val young = machine("m1", placedTasks = listOf(tenant(spec("run-8"), ranS = 5.0)), images = image)
        val old = machine("m2", placedTasks = listOf(tenant(spec("run-9"), ranS = 5.0)), images = image)
        assertEquals(null, plan(snapshot(emptyList(), listOf(young, old), mayMove = true)).move)
    }

    @Test
    fun `a silent machine is given up only for more than another one's boot`() {
        // Found on the bench: replicas of hung machines stayed down until the machines' leases were over.
        class Case(
            val weight: Double,
            val downS: Double,
            val type: MachineType,
            val worth: Boolean,
        )
        val cases =
            listOf(
                Case(weight = 1.0, downS = 5.0, type = g8, worth = false),
                Case(weight = 4.0, downS = 5.0, type = g8, worth = true),
                Case(weight = 1.0, downS = 5.0, type = c32, worth = true),
                Case(weight = 0.0, downS = 6.0, type = c32, worth = false),
                Case(weight = 100.0, downS = -1.0, type = g8, worth = false),
            )
        for (case in cases) {
            val worth = Pricing.isReplacementCheaper(case.weight, case.downS, case.type, spot = false, listOf(g8, c32))
            assertEquals(case.worth, worth, "${case.weight} for ${case.downS} s on ${case.type.name}")
        }
    }

    @Test
    fun `spot work leaves ordinary room that can't be had again to those who need it`() {
        // Found on the bench: all ordinary machines were rented, arrays filled them, and replicas waited for stops
        // while spot machines could be had.
        val array = spec("run-1", JobKind.ARRAY, Priority.NORMAL, tasks = 8).copy(spot = true, runEstimateS = 100.0)
        val refused =
            listOf(a, b).associate {
                MachineKind(g8.name, it, false) to
                    CapacityRefusal(blocked = true, penalty = 1.0)
            }
        val host = machine("m1")
        val yielding = plan(snapshot(listOf(job(array, 300.0)), listOf(host), refusals = refused))
        assertEquals(
            1,
            yielding.rentals.entries
                .single { it.key.spot }
                .value,
        )
        assertEquals(emptyList<Start>(), yielding.starts)
        val late = plan(snapshot(listOf(job(array, 100.0)), listOf(machine("m1")), refusals = refused))
        assertEquals(8, late.starts.size, "a boot would make it late")
        val short = job(array.copy(runEstimateS = 20.0), 300.0)
        val brief = plan(snapshot(listOf(short), listOf(machine("m1")), refusals = refused))
        assertEquals(8, brief.starts.size, "it ends before a spot machine is up")
        val plenty = plan(snapshot(listOf(job(array, 300.0)), listOf(machine("m1"))))
        assertEquals(8, plenty.starts.size, "ordinary machines can be had")

        fun guaranteed() = teams(red = PlanTeam(1e9, 1e9, 0.0, 8.0))
        val own = plan(snapshot(listOf(job(array, 300.0)), listOf(machine("m1")), guaranteed(), refused))
        assertEquals(8, own.starts.size, "what a guarantee covers doesn't wait")
        // Nor for a fetch: the spot machine's price made work within a guarantee start late, beside free room.
        val beside = machine("m1", images = setOf(ImageName("img")))
        val spot = machine("m2", spot = true)
        val large = job(array.copy(imageGb = 40.0), 300.0)
        val near = plan(snapshot(listOf(large), listOf(beside, spot), guaranteed(), refused, false, 1.5))
        assertEquals(setOf(MachineId("m1")), near.starts.map { it.machine }.toSet())
    }

    @Test
    fun `a replica is not stopped only to save another one's fetch`() {
        // Found on the bench: on a quiet day a start beside its image stopped a young replica, which then fetched for
        // longer than had been saved.
        fun plan(
            kind: JobKind,
            priority: Priority,
        ): Plan {
            val tenant = tenant(spec("run-9", kind, priority, gpus = 8.0, team = "blue"), ranS = 0.0)
            val holder = machine("m1", images = setOf(ImageName("img")), placedTasks = listOf(tenant))
            val red = PlanTeam(1e9, 1e9, 0.0, 8.0)
            val blue = PlanTeam(1e9, 1e9, 0.0, 0.0).also { it.add(tenant.need) }
            return plan(snapshot(listOf(job(spec())), listOf(holder, machine("m2")), teams(red, blue)))
        }
        assertEquals(emptyList<AttemptId>(), plan(JobKind.SERVICE, Priority.PRODUCTION).stops)
        assertEquals(1, plan(JobKind.ARRAY, Priority.NORMAL).stops.size, "a young task may be")
    }
}
