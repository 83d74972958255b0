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
import oxbowlug.fencing.CommandBatch
import oxbowlug.fencing.FencingTokenRange
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
import oxbowlug.wire.ImageName
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

/** Covers which events prove that an attempt is gone, and which commands the leader sends in each state. */
internal class ClusterStateTest {
    private val clock = ManualClock()
    private val settings = SettingsFile.parse(SampleSettings.valid, Policy())
    private val timing = Timing(settings, Random(1))
    private val token = FencingToken(5)
    private val tokens = FencingTokenRange(token, FencingToken(9))
    private val cluster =
        ClusterState(tokens, clock, timing, DemandForecast(settings, 60_000), invariants = failingInvariants)
    private val machine = MachineId("host-000001")
    private val spec = JobSpecCodec.decode(JobSpecCodecTest.valid())
    private val attempt = AttemptId(TaskId(spec.id, 0), 1)

    private fun record(
        phase: Phase = Phase.ACTIVE,
        hasPlacement: Boolean = true,
        write: String = "w",
    ) = JobRecord(
        spec,
        0,
        phase,
        BitSet(),
        2,
        if (hasPlacement) mapOf(0 to Placement(machine, 1)) else emptyMap(),
        write,
    )

    private fun applyStored(
        record: JobRecord,
        version: Long,
    ) {
        val value = Cbor.decode(Cbor.encode(record.encode()))
        val stored = CachedJob(record.phase, version, spec.tasks, 0, record.placements.size, value)
        cluster.applyJob(spec.id, stored, value)
    }

    private val job: Job get() = cluster.jobs.getValue(spec.id)

    private fun heartbeat(
        sequence: Long,
        incarnation: Long = 1,
        shownToken: FencingToken = token,
        tasks: List<TaskStatus> = emptyList(),
    ) = WorkerHeartbeat(
        machine,
        "10.1.0.1:9000",
        TypeName("g8"),
        Zone("a"),
        false,
        incarnation,
        sequence,
        shownToken,
        null,
        tasks,
    )

    private fun Job.startWrite(writeId: String): JobRecord = record(writeId).also { beginWrite(it, emptyList()) }

    private fun receive(heartbeat: WorkerHeartbeat) = cluster.applyHeartbeat(heartbeat, isHeartbeat = true)

    private fun task(
        state: TaskState,
        cause: ExitCause? = null,
    ) = TaskStatus(attempt, state, cause, false)

    private fun answer() = cluster.commandsInAnswer(cluster.machines.getValue(machine), clock.now)

    private fun commands() = answer().commands

    private val hasAttempt: Boolean get() = 0 in job.attempts

    @Test
    fun `a job whose predecessors are not done is never placed`() {
        var state = DependencyState.WAITING
        val dependencyCluster =
            ClusterState(
                tokens,
                clock,
                timing,
                DemandForecast(settings, 60_000),
                dependencyState = {
                    state
                },
                invariants = failingInvariants,
            )
        val dependentSpec = spec.copy(dependsOn = listOf(JobId("run-needed")))
        val value =
            Cbor.decode(Cbor.encode(JobRecord(dependentSpec, 0, Phase.ACTIVE, BitSet(), 1, emptyMap(), "w").encode()))
        dependencyCluster.applyJob(spec.id, CachedJob(Phase.ACTIVE, 1, spec.tasks, 0, 0, value), value)
        val host = dependencyCluster.machine(machine) ?: error("the machine was removed")
        val dependentJob = dependencyCluster.jobs.getValue(spec.id)
        assertThrows(IllegalStateException::class.java) { dependencyCluster.place(dependentJob, 0, host) }
        state = DependencyState.READY
        dependencyCluster.onDependencyChanged(spec.id)
        dependencyCluster.place(dependentJob, 0, host)
        assertEquals(setOf(0), dependentJob.attempts.keys)
    }

    @Test
    fun `an inherited attempt is kept until a heartbeat with the current token lacks it`() {
        applyStored(record(phase = Phase.CANCELLED), 7)
        receive(heartbeat(1, shownToken = FencingToken(4)))
        assertTrue(hasAttempt, "an earlier leader's start may still be in flight")
        receive(heartbeat(2, shownToken = token))
        assertFalse(hasAttempt)
    }

    @Test
    fun `an inherited attempt whose end the former leader didn't store isn't started again beyond the team's quota`() {
        // The former leader saw the task end and gave its quota to another task. That placement was stored, but the
        // leader terminated before it stored the end. Found by the simulation.
        class Case(
            val maxGpus: Double,
            val isStarted: Boolean,
        )
        for (case in listOf(Case(1.5, isStarted = false), Case(2.0, isStarted = true))) {
            val team = Team(spec.team, 0.0, 1e9, 0.0, spec.gpus * case.maxGpus)
            val quotaState =
                ClusterState(
                    tokens,
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
                quotaState.applyJob(id, CachedJob(Phase.ACTIVE, 1, spec.tasks, 0, 1, value), value)
            }
            val other = TaskStatus(AttemptId(TaskId(JobId("run-000999"), 0), 1), TaskState.RUNNING, null, false)
            val start = WorkerCommand.Start(attempt)
            quotaState.applyHeartbeat(
                heartbeat(1, shownToken = FencingToken(4), tasks = listOf(other)),
                isHeartbeat = true,
            )
            val host = quotaState.machines.getValue(machine)
            assertEquals(
                case.isStarted,
                start in quotaState.commandsInAnswer(host, clock.now).commands,
                "quota of ${case.maxGpus} tasks, earlier token",
            )
            quotaState.applyHeartbeat(heartbeat(2, tasks = listOf(other)), isHeartbeat = true)
            assertEquals(case.isStarted, attempt in host.attempts, "quota of ${case.maxGpus} tasks, current token")
            assertTrue(other.attempt in host.attempts)
        }
    }

    @Test
    fun `missing heartbeats and late copies of old heartbeats remove no attempt before the lease expires`() {
        applyStored(record(), 7)
        receive(heartbeat(10, tasks = listOf(task(TaskState.RUNNING))))
        receive(heartbeat(9))
        assertTrue(hasAttempt, "a heartbeat older than the newest one lacks the attempt")
        clock.now += timing.workerLeaseTtlMs - 100
        assertFalse(cluster.expireLease(cluster.machines.getValue(machine), clock.now))
        receive(heartbeat(8))
        clock.now += timing.workerLeaseExpiryMs - timing.workerLeaseTtlMs + 100
        assertTrue(
            cluster.expireLease(cluster.machines.getValue(machine), clock.now),
            "a late copy of a heartbeat renews no lease",
        )
        assertFalse(hasAttempt)
        assertFalse(receive(heartbeat(11, tasks = listOf(task(TaskState.RUNNING)))) == null)
        assertEquals(
            emptyMap<AttemptId, TaskStatus>(),
            cluster.machines.getValue(machine).tasks,
            "the incarnation has ended, so its reports are ignored",
        )
    }

    @Test
    fun `an incarnation first seen in the answer to a direct command has a lease of its own`() {
        applyStored(record(hasPlacement = false), 7)
        receive(heartbeat(1))
        val host = cluster.machines.getValue(machine)
        clock.now += timing.workerLeaseTtlMs - 1_000
        // No recent answer reached the worker, so its incarnation ended. The next one has sent no heartbeat here.
        cluster.applyHeartbeat(heartbeat(2, incarnation = 2), isHeartbeat = false)
        cluster.place(job, 0, host)
        job.completeWrite(job.startWrite("w2"), 8)
        val started = AttemptId(TaskId(spec.id, 0), 2)
        val running = TaskStatus(started, TaskState.RUNNING, null, false)
        cluster.applyHeartbeat(heartbeat(3, incarnation = 2, tasks = listOf(running)), isHeartbeat = false)
        clock.now += 2_000
        cluster.expireLease(host, clock.now)
        assertTrue(hasAttempt, "the new incarnation's lease hasn't expired, and the task runs")
        clock.now += timing.workerLeaseExpiryMs
        assertTrue(cluster.expireLease(host, clock.now), "a lease's time after the incarnation was first seen")
        assertFalse(hasAttempt)
    }

    @Test
    fun `an expired lease proves nothing while a controller with another token may have renewed it`() {
        applyStored(record(), 7)
        receive(heartbeat(10, shownToken = FencingToken(4), tasks = listOf(task(TaskState.RUNNING))))
        clock.now += timing.workerLeaseExpiryMs * 3
        assertFalse(cluster.expireLease(cluster.machines.getValue(machine), clock.now))
        assertTrue(hasAttempt)
    }

    @Test
    fun `the attempts of a released machine are removed, and late heartbeats of its worker are ignored`() {
        applyStored(record(), 7)
        receive(heartbeat(1, tasks = listOf(task(TaskState.RUNNING))))
        cluster.removeMachine(machine, RemovalReason.RELEASED)
        assertFalse(hasAttempt)
        assertEquals(null, receive(heartbeat(2, tasks = listOf(task(TaskState.RUNNING)))))
    }

    @Test
    fun `an unanswered direct start may be executed until the worker has a new incarnation`() {
        applyStored(record(), 7)
        receive(heartbeat(1))
        val host = cluster.machines.getValue(machine)
        host.directStarts.onSent(listOf(attempt), token, 1)
        host.directStarts.onUnanswered()
        applyStored(record(phase = Phase.CANCELLED), 8)
        receive(heartbeat(2))
        assertTrue(hasAttempt)
        assertEquals(
            listOf(WorkerCommand.Start(attempt), WorkerCommand.Stop(attempt, 0.0)),
            commands(),
            "with a start and a stop the worker keeps the attempt as exited, so a late start has no effect",
        )
        receive(heartbeat(3, tasks = listOf(task(TaskState.EXITED, ExitCause.STOPPED))))
        assertFalse(hasAttempt)
        assertEquals(CommandBatch(token, emptyList()), answer(), "the stored record still has the attempt")
        job.completeWrite(job.startWrite("w2"), 9)
        assertEquals(
            CommandBatch(FencingToken(6), listOf(WorkerCommand.Forget(attempt))),
            answer(),
            "forgotten only with a token that makes a start in flight invalid",
        )
        receive(heartbeat(1, incarnation = 2))
        assertEquals(0, host.directStarts.size)
    }

    /** The worker has executed a direct start of the attempt, which then exited and is in no stored record. */
    private fun exitAfterDirectStart(cause: ExitCause): Machine {
        applyStored(record(), 7)
        receive(heartbeat(1))
        val host = cluster.machines.getValue(machine)
        host.directStarts.onSent(listOf(attempt), token, 1)
        host.directStarts.onExecuted()
        receive(heartbeat(2, tasks = listOf(task(TaskState.EXITED, cause))))
        job.completeWrite(job.startWrite("w2"), 8)
        return host
    }

    @Test
    fun `an attempt with an executed direct start is forgotten only with a token that makes its repeats invalid`() {
        for (cause in ExitCause.entries) {
            val fresh = ClusterStateTest()
            val host = fresh.exitAfterDirectStart(cause)
            val forgets = listOf(WorkerCommand.Forget(attempt))
            assertEquals(emptyList<WorkerCommand>(), fresh.cluster.directCommands(host, fresh.clock.now), cause.name)
            assertEquals(CommandBatch(FencingToken(6), forgets), fresh.answer(), cause.name)
            assertEquals(CommandBatch(FencingToken(6), forgets), fresh.answer(), "$cause: the first answer was lost")
            assertEquals(
                forgets,
                fresh.cluster.directCommands(host, fresh.clock.now),
                "$cause: sent with the new token",
            )
        }
    }

    @Test
    fun `a worker gets a higher token once a lease, and never one of the next leader`() {
        val host = exitAfterDirectStart(ExitCause.DONE)
        val exited = task(TaskState.EXITED, ExitCause.DONE)
        var sequence = 2L
        val issued = ArrayList<Long>()
        while (issued.size < 100) {
            receive(heartbeat(++sequence, shownToken = host.issuedToken.value, tasks = listOf(exited)))
            host.directStarts.onSent(listOf(attempt), host.issuedToken.value, 1)
            host.directStarts.onExecuted()
            issued.add(answer().token.value)
            clock.now += timing.tokenAdvanceIntervalMs / 2
        }
        assertEquals(listOf(6L, 7L, 8L, 9L), issued.distinct())
        assertEquals(listOf(6L, 6L, 7L, 7L, 8L, 8L, 9L), issued.take(7))
        assertEquals(CommandBatch(FencingToken(9), emptyList()), answer(), "retained, since no token is left")
    }

    @Test
    fun `a direct command in flight delays a higher token, unless exited attempts fill the heartbeats`() {
        val host = exitAfterDirectStart(ExitCause.DONE)
        host.isDirectCommandInFlight = true
        assertEquals(CommandBatch(token, emptyList()), answer())
        val many =
            (1..MANY_EXITED).map {
                val exited = AttemptId(TaskId(spec.id, it), 1)
                host.directStarts.onSent(listOf(exited), token, 1)
                host.directStarts.onExecuted()
                TaskStatus(exited, TaskState.EXITED, ExitCause.DONE, false)
            }
        receive(heartbeat(3, tasks = many))
        assertEquals(CommandBatch(FencingToken(6), many.map { WorkerCommand.Forget(it.attempt) }), answer())
    }

    @Test
    fun `a start that the worker rejected or that was not sent needs no higher token`() {
        val host = exitAfterDirectStart(ExitCause.FULL)
        receive(heartbeat(3, shownToken = FencingToken(6), tasks = listOf(task(TaskState.EXITED, ExitCause.FULL))))
        assertEquals(0, host.directStarts.size, "the worker has seen a higher token since")
        host.directStarts.onSent(listOf(attempt), FencingToken(6), 1)
        host.directStarts.onNotExecuted()
        assertEquals(CommandBatch(FencingToken(6), listOf(WorkerCommand.Forget(attempt))), answer())
    }

    @Test
    fun `a done task is recorded once, and its attempt is forgotten only after the record is stored`() {
        applyStored(record(), 7)
        receive(heartbeat(1, tasks = listOf(task(TaskState.EXITED, ExitCause.DONE))))
        assertEquals(1, job.done.cardinality())
        assertEquals(emptyList<WorkerCommand>(), commands(), "the stored record still has the attempt")
        job.completeWrite(job.startWrite("w2"), 8)
        assertEquals(listOf(WorkerCommand.Forget(attempt)), commands())
    }

    @Test
    fun `an exit without success ends the attempt, and the task stays pending`() {
        for (cause in listOf(ExitCause.FULL, ExitCause.BUSY, ExitCause.UNKNOWN, ExitCause.ERROR, ExitCause.STOPPED)) {
            val fresh = ClusterStateTest()
            fresh.applyStored(fresh.record(), 7)
            fresh.receive(fresh.heartbeat(1, tasks = listOf(fresh.task(TaskState.EXITED, cause))))
            assertFalse(fresh.hasAttempt, cause.name)
            assertEquals(0, fresh.job.done.cardinality(), cause.name)
            assertTrue(0 in fresh.job.pendingTasks(10), cause.name)
        }
    }

    @Test
    fun `a reported attempt that the leader doesn't have is stopped at once`() {
        applyStored(record(hasPlacement = false), 7)
        receive(heartbeat(1, tasks = listOf(task(TaskState.RUNNING))))
        assertEquals(listOf(WorkerCommand.Stop(attempt, 0.0)), commands())
    }

    @Test
    fun `a start isn't sent before its attempt is committed`() {
        applyStored(record(hasPlacement = false), 7)
        receive(heartbeat(1))
        cluster.place(job, 0, cluster.machines.getValue(machine))
        assertEquals(emptyList<WorkerCommand>(), commands())
        job.completeWrite(job.startWrite("w2"), 8)
        assertEquals(listOf(WorkerCommand.Start(AttemptId(TaskId(spec.id, 0), 2))), commands())
    }

    @Test
    fun `the leader's own final record, seen by the watch before the write's answer, is not a cancellation`() {
        // The event of a job's last write came before the answer to it. Found on the bench (went_back).
        applyStored(record(), 7)
        receive(heartbeat(1, tasks = listOf(task(TaskState.EXITED, ExitCause.DONE))))
        for (index in 1 until spec.tasks) job.markDone(index, clock.now)
        val finalRecord = job.startWrite("w2")
        applyStored(finalRecord, 8)
        assertEquals(Phase.DONE, job.phase)
        job.completeWrite(finalRecord, 8)
        assertEquals(Phase.DONE, job.phase)
    }

    @Test
    fun `a cancellation by another controller wins over an end of the job that the leader hasn't written`() {
        applyStored(record(), 7)
        receive(heartbeat(1, tasks = listOf(task(TaskState.EXITED, ExitCause.DONE))))
        for (index in 1 until spec.tasks) job.markDone(index, clock.now)
        applyStored(record(phase = Phase.CANCELLED), 8)
        assertEquals(Phase.CANCELLED, job.phase)
    }

    @Test
    fun `the leader's own unanswered write that is applied late replaces what it placed since`() {
        applyStored(record(hasPlacement = false), 7)
        receive(heartbeat(1))
        job.requeueWrite(job.startWrite("w2"), clock.now)
        applyStored(record(write = "late"), 8)
        assertTrue(hasAttempt)
        assertEquals(1, job.attempts.getValue(0).number)
        assertTrue(attempt in cluster.machines.getValue(machine).attempts)
    }

    @Test
    fun `errors of several jobs quarantine a machine, and errors on several machines delay a job`() {
        val host = cluster.machine(machine) ?: error("the machine was removed")
        applyStored(record(), 7)
        FailureBackoff.onError(host, job, clock.now, timing)
        assertFalse(host.isQuarantined)
        assertEquals(0, job.backoffUntil)
        host.failedJobs.add("another")
        FailureBackoff.onError(host, job, clock.now, timing)
        assertTrue(host.isQuarantined)
        val delays =
            (2..6).map { index ->
                FailureBackoff.onError(Machine(MachineId("host-$index"), 0), job, clock.now, timing)
                maxOf(0, job.backoffUntil - clock.now)
            }
        assertEquals(0, delays.first(), "errors on two machines don't delay the job")
        assertEquals(delays.sorted(), delays, "the delay grows")
        assertTrue(delays.last() > delays[1])
        for (index in 7..30) FailureBackoff.onError(Machine(MachineId("host-$index"), 0), job, clock.now, timing)
        assertTrue(job.failedOn.size < 10, "machines that make no further difference are not remembered")
        val longest = maxOf(job.backoffUntil - clock.now, timing.failedMachineAvoidMs)
        assertTrue(longest <= 75_000, "with the errors over, the job would wait $longest ms despite free resources")
    }

    @Test
    fun `a machine remembers a bounded number of images, those that were used last`() {
        val rented = Machine(MachineId("host-000009"), 0)
        for (index in 0 until 10 * Machine.MAX_IMAGES) {
            rented.onImageUsed(ImageName("often"))
            rented.addImage(ImageName("img-$index"))
        }
        assertEquals(Machine.MAX_IMAGES, rented.images.size)
        assertTrue(ImageName("often") in rented.images)
        assertTrue(ImageName("img-${10 * Machine.MAX_IMAGES - 1}") in rented.images)
        assertFalse(ImageName("img-0") in rented.images)
    }

    @Test
    fun `the tasks of a silent machine fit elsewhere only if responding machines have room for them`() {
        // A silent machine of a kind that the cloud can't provide again is released only if its tasks fit elsewhere.
        val type = MachineType(TypeName("g8"), 64.0, spec.gpus, 256.0, 200.0, 2.0, 20.0, 8.0, 30.0, listOf(Zone("a")))
        val types = mapOf(type.name to type)
        val requestIds = RequestIds(Member("n0", "x"))
        val scaler =
            MachineScaler(requestIds, settings, NoCloud, clock, timing, TokenBucket(1.0), cluster, permissiveContext)
        val round =
            SchedulingRound(settings, clock, timing, cluster, scaler, clock.now) { WritableFormat.SINGLE_VALUE }
        applyStored(record(), 1)
        cluster.applyHeartbeat(
            heartbeat(1, tasks = listOf(TaskStatus(attempt, TaskState.RUNNING, null, false))),
            isHeartbeat = true,
        )
        val silent = cluster.machines.getValue(machine)
        clock.now += timing.suspectAfterMs
        assertFalse(round.hasRoomFor(listOf(silent), types), "there is no other machine")
        for (name in listOf("host-000002", "host-000003")) {
            cluster.applyHeartbeat(heartbeat(1).copy(machine = MachineId(name)), isHeartbeat = true)
        }
        assertTrue(round.hasRoomFor(listOf(silent), types))
        clock.now += timing.heartbeatLateMs + 1
        assertFalse(round.hasRoomFor(listOf(silent), types), "the other machines are silent too")
    }

    @Test
    fun `the time allowed for a cancellation counts from its confirmation, whichever controller leads since`() {
        // A leader elected during a partition counted the time allowed from its own start. Found on the bench.
        val cancelled = record(Phase.CANCELLED)
        val value = Cbor.decode(Cbor.encode(cancelled.encode() + (JobRecord.CANCELLED_AT to clock.now - 12_000)))
        cluster.applyJob(spec.id, CachedJob(cancelled.phase, 1, spec.tasks, 0, 1, value), value)
        assertEquals(clock.now - 12_000, job.cancelledAt)
        assertEquals(clock.now - 12_000, job.startWrite("w2").cancelledMs)
    }

    @Test
    fun `a zone is partitioned if many of its machines are silent, and a silent machine is suspect otherwise`() {
        class Case(
            val name: String,
            val msSinceContact: List<Long?>,
            val isPartitioned: Boolean,
            val suspects: Int,
        )

        val silent = timing.suspectAfterMs + 1
        val cases =
            listOf(
                Case("all respond", listOf(0, 500, 900, 100, 0, 0), false, 0),
                Case("a few hang", listOf(silent, silent, 0, 0, 0, 0), false, 2),
                Case("a partition begins", listOf(silent) + List(5) { timing.zonePartitionSilenceMs + 1 }, true, 1),
                Case("partitioned since before this leader's term", List(6) { null }, true, 0),
                Case("a zone's only machine", listOf(silent), false, 1),
            )
        for (case in cases) {
            val hosts =
                case.msSinceContact.mapIndexed { index, ago ->
                    Machine(MachineId("host-$index"), 0).apply {
                        zone = Zone("a")
                        listed = MachineState.RUNNING
                        lastContactAt = ago?.let { clock.now - it }
                    }
                }
            val liveness = ZoneLiveness(hosts, timing, clock.now - silent, clock.now)
            assertEquals(case.isPartitioned, liveness.isPartitioned(Zone("a")), case.name)
            assertEquals(case.suspects, liveness.suspects.size, case.name)
        }
    }

    @Test
    fun `tasks on a machine whose zone is not known yet count in every zone`() {
        // A new leader left such tasks out, and placed more than half of a spread job in one zone. Found by the
        // simulation.
        applyStored(record(), 1)
        val uses = ZoneTaskCounts(cluster, settings.zones)
        assertEquals(settings.zones.associateWith { 1 }, uses.of(job))
        assertFalse(uses.areAllZonesKnown(job))
        receive(heartbeat(1))
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

    private companion object {
        /** More entries than exited attempts may take of a heartbeat. */
        const val MANY_EXITED = 200
    }
}
