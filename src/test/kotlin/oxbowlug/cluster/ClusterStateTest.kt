package oxbowlug.cluster

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import oxbowlug.cache.CachedJob
import oxbowlug.cache.DependencyState
import oxbowlug.config.Policy
import oxbowlug.config.SettingsFile
import oxbowlug.config.Team
import oxbowlug.forecast.DemandForecast
import oxbowlug.port.CloudPort
import oxbowlug.port.RentalOutcome
import oxbowlug.record.JobRecord
import oxbowlug.record.Member
import oxbowlug.record.Phase
import oxbowlug.record.Placement
import oxbowlug.record.RequestIds
import oxbowlug.record.WritableFormat
import oxbowlug.scaling.MachineScaler
import oxbowlug.scheduling.SchedulingRound
import oxbowlug.scheduling.ZoneTaskCounts
import oxbowlug.testing.ManualClock
import oxbowlug.testing.SampleSettings
import oxbowlug.testing.failingInvariants
import oxbowlug.testing.permissiveContext
import oxbowlug.timing.Timing
import oxbowlug.timing.TokenBucket
import oxbowlug.wire.AttemptId
import oxbowlug.wire.Cbor
import oxbowlug.wire.ExitCause
import oxbowlug.wire.FencingToken
import oxbowlug.wire.JobId
import oxbowlug.wire.JobSpecCodec
import oxbowlug.wire.JobSpecCodecTest
import oxbowlug.wire.ListedMachine
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineState
import oxbowlug.wire.MachineType
import oxbowlug.wire.RentalRequest
import oxbowlug.wire.TaskId
import oxbowlug.wire.TaskState
import oxbowlug.wire.TaskStatus
import oxbowlug.wire.TypeName
import oxbowlug.wire.WorkerCommand
import oxbowlug.wire.WorkerHeartbeat
import oxbowlug.wire.Zone
import java.util.BitSet
import kotlin.random.Random

/** When an attempt is gone, and when it only seems so. */
internal class ClusterStateTest {
    private val clock = ManualClock()
    private val settings = SettingsFile.parse(SampleSettings.valid, Policy())
    private val timing = Timing(settings, Random(1))
    private val token = FencingToken(5)
    private val cluster =
        ClusterState(token, clock, timing, DemandForecast(settings, 60_000), invariants = failingInvariants)
    private val machine = MachineId("host-000001")
    private val spec = JobSpecCodec.decode(JobSpecCodecTest.valid())
    private val attempt = AttemptId(TaskId(spec.id, 0), 1)

    private fun record(
        phase: Phase = Phase.ACTIVE,
        placed: Boolean = true,
        write: String = "w",
    ) = JobRecord(
        spec,
        0,
        phase,
        BitSet(),
        2,
        if (placed) mapOf(0 to Placement(machine, 1)) else emptyMap(),
        write,
    )

    private fun take(
        record: JobRecord,
        version: Long,
    ) {
        val value = Cbor.decode(Cbor.encode(record.encode()))
        val stored = CachedJob(record.phase, version, spec.tasks, 0, record.placements.size, value)
        cluster.applyJob(spec.id, stored, value)
    }

    private val job: Job get() = cluster.jobs.getValue(spec.id)

    private fun report(
        sequence: Long,
        incarnation: Long = 1,
        seen: FencingToken = token,
        tasks: List<TaskStatus> = emptyList(),
    ) = WorkerHeartbeat(
        machine,
        "10.1.0.1:9000",
        TypeName("g8"),
        Zone("a"),
        false,
        incarnation,
        sequence,
        seen,
        null,
        tasks,
    )

    private fun Job.begin(write: String): JobRecord = record(write).also { beginWrite(it, emptyList()) }

    private fun hello(report: WorkerHeartbeat) = cluster.applyHeartbeat(report, isHeartbeat = true)

    private fun task(
        state: TaskState,
        cause: ExitCause? = null,
    ) = TaskStatus(attempt, state, cause, false)

    private fun commands() = cluster.commands(cluster.machines.getValue(machine), clock.now)

    private val isHeld: Boolean get() = 0 in job.attempts

    @Test
    fun `a job that waits for others is never placed`() {
        var state = DependencyState.WAITING
        val waiting =
            ClusterState(
                token,
                clock,
                timing,
                DemandForecast(settings, 60_000),
                dependencyState = {
                    state
                },
                invariants = failingInvariants,
            )
        val needy = spec.copy(dependsOn = listOf(JobId("run-needed")))
        val value = Cbor.decode(Cbor.encode(JobRecord(needy, 0, Phase.ACTIVE, BitSet(), 1, emptyMap(), "w").encode()))
        waiting.applyJob(spec.id, CachedJob(Phase.ACTIVE, 1, spec.tasks, 0, 0, value), value)
        val host = waiting.machine(machine) ?: error("it is there")
        val needyJob = waiting.jobs.getValue(spec.id)
        assertThrows(IllegalStateException::class.java) { waiting.place(needyJob, 0, host) }
        state = DependencyState.READY
        waiting.onDependencyChanged(spec.id)
        waiting.place(needyJob, 0, host)
        assertEquals(setOf(0), needyJob.attempts.keys)
    }

    @Test
    fun `an inherited attempt is believed in until the worker shows our token without it`() {
        take(record(phase = Phase.CANCELLED), 7)
        hello(report(1, seen = FencingToken(4)))
        assertTrue(isHeld, "an earlier leader's start may still be on its way")
        hello(report(2, seen = token))
        assertFalse(isHeld)
    }

    @Test
    fun `a task whose end the former leader didn't store isn't started again beyond its team's limit`() {
        // Found by the simulation: it had given the room away, which was stored, and ended before it stored the end.
        class Case(
            val maxGpus: Double,
            val isStarted: Boolean,
        )
        for (case in listOf(Case(1.5, isStarted = false), Case(2.0, isStarted = true))) {
            val team = Team(spec.team, 0.0, 1e9, 0.0, spec.gpus * case.maxGpus)
            val here =
                ClusterState(
                    token,
                    clock,
                    timing,
                    DemandForecast(settings, 60_000),
                    teams = mapOf(team.name to team),
                    invariants = failingInvariants,
                )
            for (id in listOf(spec.id, JobId("run-000999"))) {
                val stored =
                    JobRecord(
                        spec.copy(id = id),
                        0,
                        Phase.ACTIVE,
                        BitSet(),
                        2,
                        mapOf(0 to Placement(machine, 1)),
                        "w-$id",
                    )
                val value = Cbor.decode(Cbor.encode(stored.encode()))
                here.applyJob(id, CachedJob(Phase.ACTIVE, 1, spec.tasks, 0, 1, value), value)
            }
            val other = TaskStatus(AttemptId(TaskId(JobId("run-000999"), 0), 1), TaskState.RUNNING, null, false)
            val start = WorkerCommand.Start(attempt)
            here.applyHeartbeat(report(1, seen = FencingToken(4), tasks = listOf(other)), isHeartbeat = true)
            val host = here.machines.getValue(machine)
            assertEquals(case.isStarted, start in here.commands(host, clock.now), "limit of ${case.maxGpus}, at once")
            here.applyHeartbeat(report(2, tasks = listOf(other)), isHeartbeat = true)
            assertEquals(case.isStarted, attempt in host.attempts, "limit of ${case.maxGpus}, settled")
            assertTrue(other.attempt in host.attempts)
        }
    }

    @Test
    fun `silence, young lists and copies of old reports prove nothing`() {
        take(record(), 7)
        hello(report(10, tasks = listOf(task(TaskState.RUNNING))))
        hello(report(9))
        assertTrue(isHeld, "an older report lacks it")
        clock.now += timing.workerLeaseTtlMs - 100
        assertFalse(cluster.expireLease(cluster.machines.getValue(machine), clock.now))
        hello(report(8))
        clock.now += timing.workerLeaseExpiryMs - timing.workerLeaseTtlMs + 100
        assertTrue(cluster.expireLease(cluster.machines.getValue(machine), clock.now), "a copy renews nothing")
        assertFalse(isHeld)
        assertFalse(hello(report(11, tasks = listOf(task(TaskState.RUNNING)))) == null)
        assertEquals(
            emptyMap<AttemptId, TaskStatus>(),
            cluster.machines.getValue(machine).tasks,
            "that incarnation is over",
        )
    }

    @Test
    fun `a incarnation that a direct answer shows has a lease of its own`() {
        take(record(placed = false), 7)
        hello(report(1))
        val host = cluster.machines.getValue(machine)
        clock.now += timing.workerLeaseTtlMs - 1_000
        // It heard none of our last answers, so its incarnation ended, and the next one began without a report to us.
        cluster.applyHeartbeat(report(2, incarnation = 2), isHeartbeat = false)
        cluster.place(job, 0, host)
        job.written(job.begin("w2"), 8)
        val started = AttemptId(TaskId(spec.id, 0), 2)
        val running = TaskStatus(started, TaskState.RUNNING, null, false)
        cluster.applyHeartbeat(report(3, incarnation = 2, tasks = listOf(running)), isHeartbeat = false)
        clock.now += 2_000
        cluster.expireLease(host, clock.now)
        assertTrue(isHeld, "the new incarnation's lease is not over, and the task runs")
        clock.now += timing.workerLeaseExpiryMs
        assertTrue(cluster.expireLease(host, clock.now), "a lease after it was shown, it is")
        assertFalse(isHeld)
    }

    @Test
    fun `the end of a lease proves nothing while another token may have renewed it`() {
        take(record(), 7)
        hello(report(10, seen = FencingToken(4), tasks = listOf(task(TaskState.RUNNING))))
        clock.now += timing.workerLeaseExpiryMs * 3
        assertFalse(cluster.expireLease(cluster.machines.getValue(machine), clock.now))
        assertTrue(isHeld)
    }

    @Test
    fun `a machine that the cloud took back takes its attempts along, and late reports of it don't count`() {
        take(record(), 7)
        hello(report(1, tasks = listOf(task(TaskState.RUNNING))))
        cluster.removeMachine(machine, RemovalReason.RELEASED)
        assertFalse(isHeld)
        assertEquals(null, hello(report(2, tasks = listOf(task(TaskState.RUNNING)))))
    }

    @Test
    fun `a direct start that wasn't answered counts as possibly there until a new incarnation`() {
        take(record(), 7)
        hello(report(1))
        val host = cluster.machines.getValue(machine)
        host.unresolvedStarts.add(attempt)
        take(record(phase = Phase.CANCELLED), 8)
        hello(report(2))
        assertTrue(isHeld)
        assertEquals(
            listOf(WorkerCommand.Start(attempt), WorkerCommand.Stop(attempt, 0.0)),
            commands(),
            "started and stopped at once, the attempt stays known and the late copy has no effect",
        )
        hello(report(3, tasks = listOf(task(TaskState.EXITED, ExitCause.STOPPED))))
        assertFalse(isHeld)
        assertEquals(emptyList<WorkerCommand>(), commands(), "never forgotten while a start may be on its way")
        hello(report(1, incarnation = 2))
        assertEquals(0, host.unresolvedStarts.size)
    }

    @Test
    fun `a task is done once, and forgotten only after that is stored`() {
        take(record(), 7)
        hello(report(1, tasks = listOf(task(TaskState.EXITED, ExitCause.DONE))))
        assertEquals(1, job.done.cardinality())
        assertEquals(emptyList<WorkerCommand>(), commands(), "its record still names it")
        job.written(job.begin("w2"), 8)
        assertEquals(listOf(WorkerCommand.Forget(attempt)), commands())
    }

    @Test
    fun `a refused start is an exit of the attempt, not of the task`() {
        for (cause in listOf(ExitCause.FULL, ExitCause.BUSY, ExitCause.UNKNOWN, ExitCause.ERROR, ExitCause.STOPPED)) {
            val fresh = ClusterStateTest()
            fresh.take(fresh.record(), 7)
            fresh.hello(fresh.report(1, tasks = listOf(fresh.task(TaskState.EXITED, cause))))
            assertFalse(fresh.isHeld, cause.name)
            assertEquals(0, fresh.job.done.cardinality(), cause.name)
            assertTrue(0 in fresh.job.pendingTasks(10), cause.name)
        }
    }

    @Test
    fun `what isn't ours any more is stopped at once`() {
        take(record(placed = false), 7)
        hello(report(1, tasks = listOf(task(TaskState.RUNNING))))
        assertEquals(listOf(WorkerCommand.Stop(attempt, 0.0)), commands())
    }

    @Test
    fun `a start waits for its commit`() {
        take(record(placed = false), 7)
        hello(report(1))
        cluster.place(job, 0, cluster.machines.getValue(machine))
        assertEquals(emptyList<WorkerCommand>(), commands())
        job.written(job.begin("w2"), 8)
        assertEquals(listOf(WorkerCommand.Start(AttemptId(TaskId(spec.id, 0), 2))), commands())
    }

    @Test
    fun `our own final record seen by the watch is not a foreign cancellation`() {
        // Found on the bench (went_back): the event of a job's last write came before the answer to it.
        take(record(), 7)
        hello(report(1, tasks = listOf(task(TaskState.EXITED, ExitCause.DONE))))
        for (index in 1 until spec.tasks) job.markDone(index, clock.now)
        val written = job.begin("w2")
        take(written, 8)
        assertEquals(Phase.DONE, job.phase)
        job.written(written, 8)
        assertEquals(Phase.DONE, job.phase)
    }

    @Test
    fun `a cancellation by another controller wins over our unwritten end`() {
        take(record(), 7)
        hello(report(1, tasks = listOf(task(TaskState.EXITED, ExitCause.DONE))))
        for (index in 1 until spec.tasks) job.markDone(index, clock.now)
        take(record(phase = Phase.CANCELLED), 8)
        assertEquals(Phase.CANCELLED, job.phase)
    }

    @Test
    fun `a late write of ours that was applied after all counts over what we planned since`() {
        take(record(placed = false), 7)
        hello(report(1))
        job.requeueWrite(job.begin("w2"), clock.now)
        take(record(write = "late"), 8)
        assertTrue(isHeld)
        assertEquals(1, job.attempts.getValue(0).number)
        assertTrue(attempt in cluster.machines.getValue(machine).attempts)
    }

    @Test
    fun `errors suspect the machine first, and the job when it fails on several`() {
        val host = cluster.machine(machine) ?: error("new")
        take(record(), 7)
        FailureBackoff.onError(host, job, clock.now, timing)
        assertFalse(host.isQuarantined)
        assertEquals(0, job.backoffUntil)
        host.failedJobs.add("another")
        FailureBackoff.onError(host, job, clock.now, timing)
        assertTrue(host.isQuarantined)
        val pauses =
            (2..6).map { index ->
                FailureBackoff.onError(Machine(MachineId("host-$index"), 0), job, clock.now, timing)
                maxOf(0, job.backoffUntil - clock.now)
            }
        assertEquals(0, pauses.first(), "two machines don't make it the job's fault")
        assertEquals(pauses.sorted(), pauses, "the pause grows")
        assertTrue(pauses.last() > pauses[1])
        for (index in 7..30) FailureBackoff.onError(Machine(MachineId("host-$index"), 0), job, clock.now, timing)
        val longest = maxOf(job.backoffUntil - clock.now, timing.failedMachineAvoidMs)
        assertTrue(longest <= 75_000, "after the trouble it would be left waiting for $longest ms beside free room")
    }

    @Test
    fun `a silent machine that can't be had again is given up only where there is room`() {
        val type = MachineType(TypeName("g8"), 64.0, spec.gpus, 256.0, 200.0, 2.0, 20.0, 8.0, 30.0, listOf(Zone("a")))
        val types = mapOf(type.name to type)
        val names = RequestIds(Member("n0", "x"))
        val rentals =
            MachineScaler(names, settings, NoCloud, clock, timing, TokenBucket(1.0), cluster, permissiveContext)
        val planning =
            SchedulingRound(settings, clock, timing, cluster, rentals, clock.now) { WritableFormat.SINGLE_VALUE }
        take(record(), 1)
        cluster.applyHeartbeat(
            report(1, tasks = listOf(TaskStatus(attempt, TaskState.RUNNING, null, false))),
            isHeartbeat = true,
        )
        val silent = cluster.machines.getValue(machine)
        clock.now += timing.suspectAfterMs
        assertFalse(planning.hasRoomFor(listOf(silent), types), "it is the only one")
        for (name in listOf("host-000002", "host-000003")) {
            cluster.applyHeartbeat(report(1).copy(machine = MachineId(name)), isHeartbeat = true)
        }
        assertTrue(planning.hasRoomFor(listOf(silent), types))
        clock.now += timing.heartbeatLateMs + 1
        assertFalse(planning.hasRoomFor(listOf(silent), types), "the others are silent too")
    }

    @Test
    fun `a cancellation counts from when its user was told, whoever leads since`() {
        // Found on the bench: a leader elected during a cut counted the time allowed from its own start.
        val told = record(Phase.CANCELLED)
        val value = Cbor.decode(Cbor.encode(told.encode() + (JobRecord.CANCELLED_AT to clock.now - 12_000)))
        cluster.applyJob(spec.id, CachedJob(told.phase, 1, spec.tasks, 0, 1, value), value)
        assertEquals(clock.now - 12_000, job.cancelledAt)
        assertEquals(clock.now - 12_000, job.begin("w2").cancelledMs)
    }

    @Test
    fun `silence is a cut where it is a zone's, and a machine's own elsewhere`() {
        class Case(
            val name: String,
            val heardMs: List<Long?>,
            val isCut: Boolean,
            val suspects: Int,
        )

        val silent = timing.suspectAfterMs + 1
        val cases =
            listOf(
                Case("all heard", listOf(0, 500, 900, 100, 0, 0), false, 0),
                Case("a few hang", listOf(silent, silent, 0, 0, 0, 0), false, 2),
                Case("the first of a cut", listOf(silent) + List(5) { timing.zonePartitionSilenceMs + 1 }, true, 1),
                Case("behind a cut since before this leader", List(6) { null }, true, 0),
                Case("one alone", listOf(silent), false, 1),
            )
        for (case in cases) {
            val hosts =
                case.heardMs.mapIndexed { index, ago ->
                    Machine(MachineId("host-$index"), 0).apply {
                        zone = Zone("a")
                        listed = MachineState.RUNNING
                        lastContactAt = ago?.let { clock.now - it }
                    }
                }
            val heartbeats = ZoneLiveness(hosts, timing, clock.now - silent, clock.now)
            assertEquals(case.isCut, heartbeats.isPartitioned(Zone("a")), case.name)
            assertEquals(case.suspects, heartbeats.suspects.size, case.name)
        }
    }

    @Test
    fun `tasks on a machine of which nothing is known yet count in every zone`() {
        // Found by the simulation: a new leader left them out, and more than half of a spread job came into one zone.
        take(record(), 1)
        val uses = ZoneTaskCounts(cluster, settings.zones)
        assertEquals(settings.zones.associateWith { 1 }, uses.of(job))
        assertFalse(uses.areAllZonesKnown(job))
        hello(report(1))
        val known = ZoneTaskCounts(cluster, settings.zones)
        assertEquals(mapOf(cluster.machines.getValue(machine).zone to 1), known.of(job))
        assertTrue(known.areAllZonesKnown(job))
    }

    private object NoCloud : CloudPort {
        override fun types(done: (List<MachineType>?) -> Unit) = Unit

        override fun rent(
            request: RentalRequest,
            done: (RentalOutcome) -> Unit,
        ) = Unit

        override fun releaseMachines(
            machines: List<MachineId>,
            done: (Boolean) -> Unit,
        ) = Unit

        override fun list(done: (List<ListedMachine>?) -> Unit) = Unit
    }
}
