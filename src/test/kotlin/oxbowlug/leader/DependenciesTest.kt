package oxbowlug.leader

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import oxbowlug.cache.CachedJob
import oxbowlug.cache.DependencyState
import oxbowlug.cache.StateCache
import oxbowlug.cache.StateCacheListener
import oxbowlug.config.SettingsFile
import oxbowlug.port.ChangesOutcome
import oxbowlug.port.CommitOutcome
import oxbowlug.port.StatePort
import oxbowlug.port.LeaseRenewalOutcome
import oxbowlug.record.DataFormat
import oxbowlug.record.JobRecord
import oxbowlug.record.Keys
import oxbowlug.record.LeadershipRecord
import oxbowlug.record.Phase
import oxbowlug.record.Placement
import oxbowlug.record.RecordLayout
import oxbowlug.record.WritableFormat
import oxbowlug.sim.DriftingClock
import oxbowlug.standin.VirtualTime
import oxbowlug.testing.SampleSettings
import oxbowlug.timing.Timing
import oxbowlug.wire.Cbor
import oxbowlug.wire.Changes
import oxbowlug.wire.Event
import oxbowlug.wire.JobId
import oxbowlug.wire.JobSpecCodec
import oxbowlug.wire.JobSpecCodecTest
import oxbowlug.wire.JobState
import oxbowlug.wire.MachineId
import oxbowlug.wire.ReadPage
import oxbowlug.wire.Transaction
import java.util.BitSet
import kotlin.random.Random

/** Tests how the state cache tracks dependencies between jobs, unreadable job records, and the data format. */
internal class DependenciesTest {
    private val time = VirtualTime(1)
    private val clock = DriftingClock(time, 0.0, 0)
    private val spec = JobSpecCodec.decode(JobSpecCodecTest.valid())
    private var revision = 0L
    private val pending = ArrayList<Event>()
    private val changed = ArrayList<String>()

    /** A state service that answers reads of changes with the [pending] events. */
    private inner class FakeStatePort : StatePort {
        override fun commit(
            transaction: Transaction,
            done: (CommitOutcome) -> Unit,
        ) = Unit

        override fun readPage(
            prefix: String,
            after: String?,
            done: (ReadPage?) -> Unit,
        ) = done(ReadPage(emptyList(), false, revision))

        override fun changes(
            prefix: String,
            from: Long,
            waitMs: Long,
            done: (ChangesOutcome) -> Unit,
        ) {
            if (waitMs > 0) return
            val events = pending.toList()
            pending.clear()
            done(ChangesOutcome.Read(Changes(events, revision)))
        }

        override fun grantLease(
            ttlMs: Long,
            done: (Long?) -> Unit,
        ) = Unit

        override fun keepLeaseAlive(
            lease: Long,
            done: (LeaseRenewalOutcome) -> Unit,
        ) = Unit

        override fun revokeLease(lease: Long) = Unit
    }

    /** Records the jobs whose dependencies changed in [changed]. */
    private inner class RecordingListener : StateCacheListener {
        override fun onMembershipRead() = Unit

        override fun onLeaderChanged(leadership: LeadershipRecord) = Unit

        override fun onJob(
            id: JobId,
            job: CachedJob,
            value: Map<String, Any?>,
        ) = Unit

        override fun onDependencyChanged(id: JobId) {
            changed.add(id.value)
        }

        override fun onWritableFormat(format: WritableFormat) = Unit
    }

    private val timing = Timing(SettingsFile.parse(SampleSettings.valid), Random(1))
    private val cache = StateCache(FakeStatePort(), clock, timing, RecordingListener()).apply { tick() }

    private fun asStored(value: Map<String, Any?>) = Cbor.decode(Cbor.encode(value))

    private fun value(
        id: String,
        phase: Phase,
        dependsOn: List<String>,
    ): Map<String, Any?> {
        val done = BitSet().apply { if (phase == Phase.DONE) set(0, spec.tasks) }
        val jobSpec = spec.copy(id = JobId(id), dependsOn = dependsOn.map(::JobId))
        return asStored(JobRecord(jobSpec, 5, phase, done, 2, emptyMap(), "w-$revision").encode())
    }

    private fun write(
        id: String,
        phase: Phase = Phase.ACTIVE,
        vararg dependsOn: String,
    ) {
        revision++
        pending.add(Event(Keys.job(id), value(id, phase, dependsOn.toList()), revision))
    }

    /** The cache limits the rate of its reads, so simulated time has to pass between them. */
    private fun catchUp() {
        cache.catchUp {}
        time.after(1_000) {}
        time.runUntil(time.nowMs + 1_000)
        cache.tick()
    }

    private fun jobStates(vararg ids: String): List<JobState?> =
        ids.map { id -> cache.job(JobId(id))?.status(JobId(id))?.state }

    private fun dependencyState(id: String) = cache.dependencyState(cache.job(JobId(id))?.dependsOn.orEmpty())

    @Test
    fun `a job is ready once all its predecessors are done`() {
        write("a")
        write("b")
        write("c", Phase.ACTIVE, "a", "b")
        catchUp()
        assertEquals(DependencyState.WAITING, dependencyState("c"))
        write("a", Phase.DONE)
        catchUp()
        assertEquals(DependencyState.WAITING, dependencyState("c"))
        write("b", Phase.DONE)
        catchUp()
        assertEquals(DependencyState.READY, dependencyState("c"))
        assertEquals(listOf("c", "c"), changed)
    }

    @Test
    fun `a cancellation cancels all direct and indirect dependents and no other job`() {
        write("a")
        write("b", Phase.ACTIVE, "a")
        write("c", Phase.ACTIVE, "a")
        write("d", Phase.ACTIVE, "b", "c")
        write("other")
        write("e", Phase.ACTIVE, "other")
        catchUp()
        write("a", Phase.CANCELLED)
        // A dependent may also be submitted after the cancellation.
        write("f", Phase.ACTIVE, "d")
        catchUp()
        assertEquals(List(5) { JobState.CANCELLED }, jobStates("a", "b", "c", "d", "f"))
        assertEquals(List(2) { JobState.QUEUED }, jobStates("other", "e"))
        val active = ArrayList<String>()
        cache.forEachActive { id, _ -> active.add(id.value) }
        assertTrue(active.containsAll(listOf("b", "c", "d", "f")), "their cancellations aren't stored yet")
    }

    @Test
    fun `dependents of a job that is done are queued and ready`() {
        write("a", Phase.DONE)
        write("b", Phase.ACTIVE, "a")
        catchUp()
        assertEquals(listOf(JobState.QUEUED), jobStates("b"))
        assertEquals(DependencyState.READY, dependencyState("b"))
    }

    @Test
    fun `a cancellation from a peer's notice also cancels dependents`() {
        write("a")
        write("b", Phase.ACTIVE, "a")
        catchUp()
        cache.applyRecord(JobId("a"), revision + 1, value("a", Phase.CANCELLED, emptyList()))
        assertEquals(listOf(JobState.CANCELLED), jobStates("b"))
    }

    @Test
    fun `chains and fans of 20000 jobs are followed without recursion, in any order of events`() {
        val length = 20_000
        write("chain-0")
        for (index in 1..length) write("chain-$index", Phase.ACTIVE, "chain-${index - 1}")
        for (index in 1..length) write("fan-$index", Phase.ACTIVE, "chain-0")
        pending.shuffle(java.util.Random(1))
        catchUp()
        write("chain-0", Phase.CANCELLED)
        catchUp()
        assertEquals(2 * length, changed.size)
        assertEquals(listOf(JobState.CANCELLED, JobState.CANCELLED), jobStates("chain-$length", "fan-$length"))
    }

    @Test
    fun `a job with an unreadable record is cached as unreadable and blocks its dependents`() {
        write("a")
        catchUp()
        revision++
        // The parts that the head announces are missing.
        pending.add(Event(Keys.job("a"), value("a", Phase.ACTIVE, emptyList()) + (RecordLayout.PARTS to 2L), revision))
        pending.add(Event(Keys.job("b"), mapOf("phase" to "unheard of"), revision))
        val malformed = value("c", Phase.ACTIVE, emptyList()) + ("run" to mapOf("host-1" to 3L))
        pending.add(Event(Keys.job("c"), malformed, revision))
        catchUp()
        for (id in listOf("a", "b", "c")) assertEquals(true, cache.job(JobId(id))?.isUnreadable, id)
        write("d", Phase.ACTIVE, "b")
        catchUp()
        assertEquals(DependencyState.WAITING, dependencyState("d"))
    }

    @Test
    fun `parts of a head's transaction are joined with it, in whatever order the events come`() {
        val record =
            JobRecord(
                spec.copy(id = JobId("a"), tasks = 240),
                5,
                Phase.ACTIVE,
                BitSet(),
                2,
                (0 until 240).associateWith { Placement(MachineId("host-%06d".format(it)), 1) },
                "w",
            )
        val limits = oxbowlug.config.WriteLimits(15.0, 2.0, 4)
        val storedForm = RecordLayout(limits).split(record.encode()) ?: error("the record doesn't fit its value limit")
        revision++
        pending.add(Event(Keys.job("a"), asStored(storedForm.head), revision))
        for ((index, part) in storedForm.parts.withIndex()) pending.add(Event(Keys.part("a", index), part, revision))
        // Later events of the same response delete the parts again.
        revision++
        for (index in storedForm.parts.indices) pending.add(Event(Keys.part("a", index), null, revision))
        catchUp()
        assertEquals(240, cache.job(JobId("a"))?.placed)
    }

    @Test
    fun `the format marker selects the writable layout, and an unknown marker forbids writes`() {
        val cases =
            listOf(
                null to WritableFormat.SINGLE_VALUE,
                DataFormat.encode(1) to WritableFormat.SINGLE_VALUE,
                DataFormat.encode(2) to WritableFormat.HEAD_AND_PARTS,
                DataFormat.encode(3) to WritableFormat.NONE,
                mapOf("format" to "two") to WritableFormat.NONE,
                emptyMap<String, Any?>() to WritableFormat.NONE,
            )
        for ((marker, expected) in cases) assertEquals(expected, WritableFormat.ofMarker(marker), "$marker")
    }
}
