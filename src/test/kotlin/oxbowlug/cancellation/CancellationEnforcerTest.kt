package oxbowlug.cancellation

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import oxbowlug.cache.CachedJob
import oxbowlug.cache.StateCache
import oxbowlug.cache.StateCacheListener
import oxbowlug.config.Address
import oxbowlug.config.SettingsFile
import oxbowlug.membership.PeerHealth
import oxbowlug.port.CancellationNotice
import oxbowlug.port.CloudPort
import oxbowlug.port.CommandOutcome
import oxbowlug.port.PeerPort
import oxbowlug.port.RentalOutcome
import oxbowlug.port.WorkerPort
import oxbowlug.record.JobRecord
import oxbowlug.record.Keys
import oxbowlug.record.Member
import oxbowlug.record.Phase
import oxbowlug.record.Placement
import oxbowlug.standin.SimStore
import oxbowlug.standin.VirtualTime
import oxbowlug.testing.NoOpStateCacheListener
import oxbowlug.testing.ImmediateStatePort
import oxbowlug.testing.ManualClock
import oxbowlug.testing.SampleSettings
import oxbowlug.timing.Timing
import oxbowlug.timing.TokenBucket
import oxbowlug.wire.AttemptId
import oxbowlug.wire.Change
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
import oxbowlug.wire.Transaction
import oxbowlug.wire.TypeName
import oxbowlug.wire.WorkerCommand
import oxbowlug.wire.WorkerHeartbeat
import oxbowlug.wire.Zone
import java.util.BitSet
import kotlin.random.Random

/**
 * Enforcement by a follower, without a leader, of two cancellations on one machine. A worker's report that one job's
 * attempts are absent must not count for the other job: its attempts would keep running on a machine that is kept.
 */
internal class CancellationEnforcerTest {
    private val settings = SettingsFile.parse(SampleSettings.valid)
    private val timing = Timing(settings, Random(1))
    private val time = VirtualTime(1)
    private val store = SimStore(time)
    private val self = Member("n0", "x")
    private val machine = MachineId("host-000001")
    private val firstJob = JobId("run-000001")
    private val secondJob = JobId("run-000002")

    private val clock = ManualClock()

    /** The attempts that run on the machine. */
    private val running = LinkedHashSet<AttemptId>()

    /** Whether the worker executes and answers commands. */
    private var executesCommands = true
    private val releasedMachines = ArrayList<MachineId>()

    private fun currentHeartbeat() =
        WorkerHeartbeat(
            machine,
            ENDPOINT,
            TypeName("g8"),
            Zone("a"),
            false,
            1,
            1,
            FencingToken(1),
            null,
            running.map { TaskStatus(it, TaskState.RUNNING, null, false) },
        )

    private val workers =
        object : WorkerPort {
            override fun status(
                endpoint: Address,
                done: (WorkerHeartbeat?) -> Unit,
            ) = done(currentHeartbeat())

            override fun command(
                endpoint: Address,
                token: FencingToken,
                incarnation: Long,
                commands: List<WorkerCommand>,
                done: (CommandOutcome) -> Unit,
            ) {
                if (!executesCommands) return done(CommandOutcome.Unanswered)
                running.removeAll(commands.filterIsInstance<WorkerCommand.Stop>().map { it.attempt }.toSet())
                done(CommandOutcome.Answered(currentHeartbeat(), executed = true))
            }
        }

    private val cloud =
        object : CloudPort {
            override fun types(done: (List<MachineType>?) -> Unit) = done(emptyList())

            override fun rent(
                request: RentalRequest,
                done: (RentalOutcome) -> Unit,
            ) = done(RentalOutcome.NoCapacity)

            override fun releaseMachines(
                machines: List<MachineId>,
                done: (Boolean) -> Unit,
            ) {
                releasedMachines.addAll(machines)
                done(true)
            }

            override fun list(done: (List<ListedMachine>?) -> Unit) =
                done(
                    listOf(
                        ListedMachine(machine, ENDPOINT, TypeName("g8"), Zone("a"), false, MachineState.RUNNING, 60.0),
                    ),
                )
        }

    private val peers =
        object : PeerPort {
            override fun send(
                label: String,
                notice: CancellationNotice,
            ) = Unit

            override fun broadcastHeartbeat() = Unit
        }

    private inner class RecordListener : StateCacheListener by NoOpStateCacheListener {
        override fun onJob(
            id: JobId,
            job: CachedJob,
            value: Map<String, Any?>,
        ) = cancellations.onRecordChanged(id, job, value)
    }

    private val cache = StateCache(ImmediateStatePort(store), clock, timing, RecordListener())
    private val peerHealth = PeerHealth(settings.peers.size, clock, timing)
    private val cancellations: CancellationTracker =
        CancellationTracker(self, settings, clock, timing, cache, peerHealth, peers) { null }
    private val enforcer =
        CancellationEnforcer(
            self,
            settings,
            clock,
            timing,
            cache,
            cancellations,
            peerHealth,
            cloud,
            workers,
            TokenBucket(10.0),
        )

    private fun attempt(job: JobId) = AttemptId(TaskId(job, 0), 1)

    private fun storeCancelled(job: JobId) {
        val spec = JobSpecCodec.decode(JobSpecCodecTest.valid()).copy(id = job)
        val record =
            JobRecord(
                spec,
                0,
                Phase.CANCELLED,
                BitSet(),
                2,
                mapOf(0 to Placement(machine, 1)),
                "w",
                cancelledMs = clock.now,
            )
        store.commit(Transaction(emptyList(), listOf(Change.Put(Keys.job(job.value), record.encode()))))
    }

    /** Cancels both jobs, one after the other, while those of [runningJobs] still run, and lets [forMs] pass. */
    private fun cancelBoth(
        runningJobs: List<JobId>,
        forMs: Long = timing.cancelDeadlineMs,
    ) {
        running.addAll(runningJobs.map(::attempt))
        storeCancelled(firstJob)
        advanceClock(timing.heartbeatLateMs)
        storeCancelled(secondJob)
        advanceClock(forMs)
    }

    private fun advanceClock(ms: Long) {
        val endMs = clock.now + ms
        while (clock.now < endMs) {
            cache.tick()
            cache.catchUp {}
            enforcer.tick()
            clock.now += timing.tickMs
        }
    }

    @Test
    fun `each cancelled job's attempts on a shared machine are stopped`() {
        cancelBoth(listOf(firstJob, secondJob), forMs = timing.cancelReleaseAfterMs)
        assertEquals(emptySet<AttemptId>(), running)
    }

    @Test
    fun `absence of one job's attempts does not count for the other job's`() {
        cancelBoth(listOf(secondJob), forMs = timing.cancelReleaseAfterMs)
        assertEquals(emptySet<AttemptId>(), running)
    }

    @Test
    fun `a machine that does not stop a cancelled attempt is released in time`() {
        executesCommands = false
        cancelBoth(listOf(secondJob))
        assertEquals(listOf(machine), releasedMachines.distinct())
    }

    @Test
    fun `a machine without running cancelled attempts is not released`() {
        cancelBoth(emptyList())
        assertTrue(releasedMachines.isEmpty(), "$releasedMachines")
    }

    private companion object {
        const val ENDPOINT = "127.0.0.1:9000"
    }
}
