package oxbowlug.commit

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import oxbowlug.cache.CachedJob
import oxbowlug.cache.StateCache
import oxbowlug.cluster.ClusterState
import oxbowlug.config.SettingsFile
import oxbowlug.config.WriteLimits
import oxbowlug.fencing.FencingTokenRange
import oxbowlug.forecast.DemandForecast
import oxbowlug.port.CommitOutcome
import oxbowlug.record.DataFormat
import oxbowlug.record.JobRecord
import oxbowlug.record.Keys
import oxbowlug.record.LeadershipRecord
import oxbowlug.record.Member
import oxbowlug.record.Phase
import oxbowlug.record.Placement
import oxbowlug.record.RecordLayout
import oxbowlug.record.RequestIds
import oxbowlug.sim.DriftingClock
import oxbowlug.standin.SimStore
import oxbowlug.standin.VirtualTime
import oxbowlug.testing.ImmediateStatePort
import oxbowlug.testing.NoOpStateCacheListener
import oxbowlug.testing.SampleSettings
import oxbowlug.testing.failingInvariants
import oxbowlug.testing.permissiveContext
import oxbowlug.timing.Timing
import oxbowlug.timing.TokenBucket
import oxbowlug.wire.Cbor
import oxbowlug.wire.Change
import oxbowlug.wire.FencingToken
import oxbowlug.wire.JobId
import oxbowlug.wire.JobSpecCodec
import oxbowlug.wire.JobSpecCodecTest
import oxbowlug.wire.MachineId
import oxbowlug.wire.Transaction
import java.util.BitSet
import kotlin.random.Random

/** A leader's writes of job records before and after the state service lowers its limits to [nextLimits]. */
internal class JobRecordWriterTest {
    private val time = VirtualTime(1)
    private val store = SimStore(time)
    private val clock = DriftingClock(time, 0.0, 0)
    private val nextLimits = WriteLimits(writeRps = 15.0, valueKb = 2.0, txnOps = 4)
    private val settings =
        SettingsFile.parse(SampleSettings.valid).let { it.copy(state = it.state.copy(next = nextLimits)) }
    private val timing = Timing(settings, Random(1))
    private val spec = JobSpecCodec.decode(JobSpecCodecTest.valid())
    private val sent = ArrayList<Transaction>()

    /** If not null, transactions are held here until the test executes or answers them. */
    private var heldCommits: ArrayList<HeldCommit>? = null

    private class HeldCommit(
        val transaction: Transaction,
        val answer: (CommitOutcome) -> Unit,
    )

    private inner class Port : ImmediateStatePort(store) {
        override fun commit(
            transaction: Transaction,
            done: (CommitOutcome) -> Unit,
        ) {
            sent.add(transaction)
            heldCommits?.add(HeldCommit(transaction, done)) ?: super.commit(transaction, done)
        }
    }

    private val cluster =
        ClusterState(
            FencingTokenRange.after(0),
            clock,
            timing,
            DemandForecast(settings, 60_000),
            invariants = failingInvariants,
        )
    private lateinit var writer: JobRecordWriter

    private fun put(
        key: String,
        value: Map<String, Any?>,
    ) {
        store.commit(Transaction(emptyList(), listOf(Change.Put(key, value))))
    }

    /** Starts a leader that has read [records], which were stored whole. */
    private fun lead(
        isFormatEnabled: Boolean,
        vararg records: JobRecord,
        rate: Double = 100.0,
    ) {
        val leadership = LeadershipRecord(1, FencingToken(1), Member("n0", "x"), 0)
        put(Keys.LEADERSHIP, leadership.encode())
        if (isFormatEnabled) put(Keys.FORMAT_MARKER, DataFormat.encode(DataFormat.NEWEST))
        for (record in records) put(Keys.job(record.spec.id.value), record.encode())
        val cache = StateCache(Port(), clock, timing, NoOpStateCacheListener).apply { tick() }
        val version = store.entry(Keys.LEADERSHIP)?.version ?: error("the leadership record was just written")
        cache.forEachActive { id, stored -> stored.value?.let { cluster.applyJob(id, stored, it) } }
        writer =
            JobRecordWriter(
                leadership.copy(version = version),
                RequestIds(leadership.leader),
                settings,
                Port(),
                clock,
                timing,
                TokenBucket(rate),
                cache,
                cluster,
                permissiveContext,
            )
    }

    private fun record(
        id: String,
        tasks: Int,
        placed: Int = 0,
    ) = JobRecord(
        spec.copy(id = JobId(id), tasks = tasks),
        5,
        Phase.ACTIVE,
        BitSet(),
        2,
        (0 until placed).associateWith { Placement(MachineId("host-%06d".format(it)), 1) },
        "w",
    )

    private fun place(
        id: String,
        tasks: IntRange,
    ) {
        val job = cluster.jobs.getValue(JobId(id))
        for (task in tasks) {
            cluster.place(
                job,
                task,
                cluster.machine(MachineId("host-%06d".format(task))) ?: error("the machine was removed"),
            )
        }
        job.advanceAttemptNumber()
    }

    private fun flush(times: Int = 1) =
        repeat(times) {
            writer.flush()
            time.after(2_000) {}
            time.runUntil(time.nowMs + 2_000)
        }

    private fun stored(id: String): JobRecord {
        val head = store.entry(Keys.job(id))?.value ?: error("$id is stored")
        return JobRecord.decode(RecordLayout.merge(head) { store.entry(Keys.part(id, it))?.value })
    }

    @Test
    fun `a job of 240 tasks on as many machines is placed and finished in values of 2 KiB`() {
        lead(isFormatEnabled = true, record("big", 240))
        store.limits = nextLimits
        time.runUntil(time.nowMs + 1_000)
        place("big", 0..199)
        flush(2)
        val job = cluster.jobs.getValue(JobId("big"))
        assertEquals(200, stored("big").placements.size)
        assertTrue(job.attempts.values.all { it.isCommitted })
        assertTrue(store.keys(Keys.PARTS).isNotEmpty())
        for (task in 0..198) {
            job.markDone(task, clock.steadyMs())
            job.removeAttempt(task, clock.steadyMs())
        }
        place("big", 200..239)
        flush(3)
        assertEquals(41, stored("big").placements.size)
        for (task in 199..239) {
            job.markDone(task, clock.steadyMs())
            job.removeAttempt(task, clock.steadyMs())
        }
        flush(3)
        assertEquals(Phase.DONE, stored("big").phase)
        assertEquals(emptyList<String>(), store.keys(Keys.PARTS), "the record of a finished job has only a head")
        assertEquals(0, store.refusedForSize)
    }

    @Test
    fun `deferred writes of task ends leave tokens for placements and are made in the end`() {
        val arrays = List(12) { record("array-$it", 40, placed = 1) }
        lead(isFormatEnabled = true, *arrays.toTypedArray(), record("service", 2), rate = 8.0)
        for (array in arrays) cluster.jobs.getValue(array.spec.id).removeAttempt(0, clock.steadyMs())
        time.after(timing.deferredWriteMs) {}
        time.runUntil(time.nowMs + timing.deferredWriteMs)
        writer.flush()
        val deferredChanges = sent.sumOf { it.changes.size }
        place("service", 0..1)
        writer.flush()
        assertEquals(2, stored("service").placements.size, "written at once, after $deferredChanges deferred changes")
        flush(8)
        assertEquals(List(12) { 0 }, arrays.map { stored(it.spec.id.value).placements.size })
    }

    @Test
    fun `unchanged parts aren't written again`() {
        lead(isFormatEnabled = true, record("big", 240))
        place("big", 0..199)
        flush()
        val first = sent.last().changes.size
        cluster.jobs.getValue(JobId("big")).removeAttempt(199, clock.steadyMs())
        flush(2)
        assertTrue(first == 3 && sent.last().changes.size == 2, "$first, then ${sent.last().changes.size}")
    }

    @Test
    fun `before the format is enabled records are written whole, and one refused for its size delays no other`() {
        lead(isFormatEnabled = false, record("big", 240), record("small", 4))
        store.limits = nextLimits
        time.runUntil(time.nowMs + 1_000)
        place("big", 0..199)
        place("small", 0..3)
        flush(6)
        assertEquals(4, stored("small").placements.size, "the other job is written")
        assertEquals(emptyMap<Int, Placement>(), stored("big").placements)
        assertEquals(
            emptySet<Int>(),
            cluster.jobs
                .getValue(JobId("big"))
                .attempts.keys,
            "its uncommitted attempts are withdrawn",
        )
        val tooLarge =
            sent.map { it.changes }.filter { changes ->
                changes.any { it is Change.Put && Cbor.encode(it.value).size > 2048 }
            }
        assertEquals(tooLarge.distinct().size, tooLarge.size, "no refused transaction is sent again unchanged")
        place("big", 0..9)
        time.after(timing.workerLeaseTtlMs) {}
        time.runUntil(time.nowMs + timing.workerLeaseTtlMs)
        flush(2)
        assertEquals(10, stored("big").placements.size, "the record fits with fewer placements")
    }

    /** Applies the stored record as the watch does, which may be before or after the answer to the write. */
    private fun applyFromWatch(id: String) {
        val head = store.entry(Keys.job(id)) ?: error("$id is stored")
        val wholeRecord = RecordLayout.merge(head.value) { store.entry(Keys.part(id, it))?.value }
        cluster.applyJob(JobId(id), CachedJob.read(wholeRecord, head.version), wholeRecord)
    }

    @Test
    fun `a late answer to one write isn't taken for the answer to the next write`() {
        lead(isFormatEnabled = true, record("job", 4))
        val inFlight = ArrayList<HeldCommit>().also { heldCommits = it }
        place("job", 0..0)
        writer.flush()
        store.commit(inFlight[0].transaction)
        applyFromWatch("job")
        place("job", 1..1)
        writer.flush()
        assertEquals(2, inFlight.size, "the second write is in flight")
        inFlight[0].answer(CommitOutcome.Applied(store.revision))
        val job = cluster.jobs.getValue(JobId("job"))
        assertEquals(listOf(true, false), job.attempts.values.map { it.isCommitted }, "attempts that may be started")
        inFlight[1].answer(CommitOutcome.Refused)
        heldCommits = null
        flush(2)
        assertEquals(setOf(0, 1), stored("job").placements.keys, "the refused write is made again")
        assertEquals(listOf(true, true), job.attempts.values.map { it.isCommitted })
    }
}
