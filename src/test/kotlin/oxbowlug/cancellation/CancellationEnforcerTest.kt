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
import oxbowlug.standin.World
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

/** What a follower does about cancelled work on a machine that several cancelled jobs share, with nobody leading. */
internal class CancellationEnforcerTest {
    private val settings = SettingsFile.parse(SampleSettings.valid)
    private val timing = Timing(settings, Random(1))
    private val world = World(1)
    private val store = SimStore(world)
    private val self = Member("n0", "x")
    private val host = MachineId("host-000001")
    private val first = JobId("run-000001")
    private val second = JobId("run-000002")

    private val clock = ManualClock()

    /** Attempts that run on the machine. */
    private val running = LinkedHashSet<AttemptId>()
    private var obeys = true
    private val returned = ArrayList<MachineId>()

    private fun account() =
        WorkerHeartbeat(
            host,
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
            ) = done(account())

            override fun command(
                endpoint: Address,
                token: FencingToken,
                incarnation: Long,
                commands: List<WorkerCommand>,
                done: (CommandOutcome) -> Unit,
            ) {
                if (!obeys) return done(CommandOutcome.Unanswered)
                running.removeAll(commands.filterIsInstance<WorkerCommand.Stop>().map { it.attempt }.toSet())
                done(CommandOutcome.Answered(account(), executed = true))
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
                returned.addAll(machines)
                done(true)
            }

            override fun list(done: (List<ListedMachine>?) -> Unit) =
                done(
                    listOf(ListedMachine(host, ENDPOINT, TypeName("g8"), Zone("a"), false, MachineState.RUNNING, 60.0)),
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

    private inner class Listener : StateCacheListener by NoOpStateCacheListener {
        override fun onJob(
            id: JobId,
            job: CachedJob,
            value: Map<String, Any?>,
        ) = cancellations.onRecordChanged(id, job, value)
    }

    private val cache = StateCache(ImmediateStatePort(store), clock, timing, Listener())
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

    private fun cancelled(job: JobId) {
        val spec = JobSpecCodec.decode(JobSpecCodecTest.valid()).copy(id = job)
        val record =
            JobRecord(
                spec,
                0,
                Phase.CANCELLED,
                BitSet(),
                2,
                mapOf(0 to Placement(host, 1)),
                "w",
                cancelledMs = clock.now,
            )
        store.commit(Transaction(emptyList(), listOf(Change.Put(Keys.job(job.value), record.encode()))))
    }

    /** The jobs are cancelled one after the other, and [there] still run. */
    private fun play(
        there: List<JobId>,
        forMs: Long = timing.cancelDeadlineMs,
    ) {
        running.addAll(there.map(::attempt))
        cancelled(first)
        pass(timing.heartbeatLateMs)
        cancelled(second)
        pass(forMs)
    }

    private fun pass(ms: Long) {
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
        play(listOf(first, second), forMs = timing.cancelReleaseAfterMs)
        assertEquals(emptySet<AttemptId>(), running)
    }

    @Test
    fun `that one job's attempts are gone isn't taken for the other's`() {
        play(listOf(second), forMs = timing.cancelReleaseAfterMs)
        assertEquals(emptySet<AttemptId>(), running)
    }

    @Test
    fun `a machine that doesn't stop one of them is returned in time`() {
        obeys = false
        play(listOf(second))
        assertEquals(listOf(host), returned.distinct())
    }

    @Test
    fun `a machine on which none of them is left is kept`() {
        play(emptyList())
        assertTrue(returned.isEmpty(), "$returned")
    }

    private companion object {
        const val ENDPOINT = "127.0.0.1:9000"
    }
}
