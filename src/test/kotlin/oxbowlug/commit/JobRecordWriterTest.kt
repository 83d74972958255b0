package oxbowlug.commit

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import oxbowlug.cache.CachedJob
import oxbowlug.cache.StateCache
import oxbowlug.cluster.ClusterState
import oxbowlug.config.SettingsFile
import oxbowlug.config.WriteLimits
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
import oxbowlug.testing.NoOpStateCacheListener
import oxbowlug.testing.ImmediateStatePort
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

/** How a leader writes its jobs' records while the state service takes less than it did. */
internal class JobRecordWriterTest {
    private val time = VirtualTime(1)
    private val store = SimStore(time)
    private val clock = DriftingClock(time, 0.0, 0)
    private val next = WriteLimits(writeRps = 15.0, valueKb = 2.0, txnOps = 4)
    private val settings = SettingsFile.parse(SampleSettings.valid).let { it.copy(state = it.state.copy(next = next)) }
    private val timing = Timing(settings, Random(1))
    private val spec = JobSpecCodec.decode(JobSpecCodecTest.valid())
    private val sent = ArrayList<Transaction>()

    /** Not null: transactions wait here until the test carries them out, or answers them. */
    private var held: ArrayList<Held>? = null

    private class Held(
        val transaction: Transaction,
        val answer: (CommitOutcome) -> Unit,
    )

    private inner class Port : ImmediateStatePort(store) {
        override fun commit(
            transaction: Transaction,
            done: (CommitOutcome) -> Unit,
        ) {
            sent.add(transaction)
            held?.add(Held(transaction, done)) ?: super.commit(transaction, done)
        }
    }

    private val cluster =
        ClusterState(FencingToken(1), clock, timing, DemandForecast(settings, 60_000), invariants = failingInvariants)
    private lateinit var commits: JobRecordWriter

    private fun put(
        key: String,
        value: Map<String, Any?>,
    ) {
        store.commit(Transaction(emptyList(), listOf(Change.Put(key, value))))
    }

    /** A leader that has read [records], which were stored whole. */
    private fun lead(
        isSwitchedOn: Boolean,
        vararg records: JobRecord,
        rate: Double = 100.0,
    ) {
        val leadership = LeadershipRecord(1, FencingToken(1), Member("n0", "x"), 0)
        put(Keys.LEADERSHIP, leadership.encode())
        if (isSwitchedOn) put(Keys.FORMAT_MARKER, DataFormat.encode(DataFormat.NEWEST))
        for (record in records) put(Keys.job(record.spec.id.value), record.encode())
        val cache = StateCache(Port(), clock, timing, NoOpStateCacheListener).apply { tick() }
        val version = store.entry(Keys.LEADERSHIP)?.version ?: error("it was just written")
        cache.forEachActive { id, stored -> stored.value?.let { cluster.applyJob(id, stored, it) } }
        commits =
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
                cluster.machine(MachineId("host-%06d".format(task))) ?: error("there"),
            )
        }
        job.advanceAttemptNumber()
    }

    private fun flush(times: Int = 1) =
        repeat(times) {
            commits.flush()
            time.after(2_000) {}
            time.runUntil(time.nowMs + 2_000)
        }

    private fun stored(id: String): JobRecord {
        val head = store.entry(Keys.job(id))?.value ?: error("$id is stored")
        return JobRecord.decode(RecordLayout.merge(head) { store.entry(Keys.part(id, it))?.value })
    }

    @Test
    fun `a job of 240 tasks on as many machines is placed, ends and is over in small values`() {
        lead(isSwitchedOn = true, record("big", 240))
        store.limits = next
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
        assertEquals(emptyList<String>(), store.keys(Keys.PARTS), "a finished record shrinks to its head")
        assertEquals(0, store.refusedForSize)
    }

    @Test
    fun `ends that can wait leave writes for placements, but not for ever`() {
        val arrays = List(12) { record("array-$it", 40, placed = 1) }
        lead(isSwitchedOn = true, *arrays.toTypedArray(), record("service", 2), rate = 8.0)
        for (array in arrays) cluster.jobs.getValue(array.spec.id).removeAttempt(0, clock.steadyMs())
        time.after(timing.deferredWriteMs) {}
        time.runUntil(time.nowMs + timing.deferredWriteMs)
        commits.flush()
        val lesser = sent.sumOf { it.changes.size }
        place("service", 0..1)
        commits.flush()
        assertEquals(2, stored("service").placements.size, "written at once, after $lesser lesser changes")
        flush(8)
        assertEquals(List(12) { 0 }, arrays.map { stored(it.spec.id.value).placements.size })
    }

    @Test
    fun `parts that didn't change aren't written again`() {
        lead(isSwitchedOn = true, record("big", 240))
        place("big", 0..199)
        flush()
        val first = sent.last().changes.size
        cluster.jobs.getValue(JobId("big")).removeAttempt(199, clock.steadyMs())
        flush(2)
        assertTrue(first == 3 && sent.last().changes.size == 2, "$first, then ${sent.last().changes.size}")
    }

    @Test
    fun `before the switch records are written whole, and what is refused for its size holds up nothing else`() {
        lead(isSwitchedOn = false, record("big", 240), record("small", 4))
        store.limits = next
        time.runUntil(time.nowMs + 1_000)
        place("big", 0..199)
        place("small", 0..3)
        flush(6)
        assertEquals(4, stored("small").placements.size, "the other one is written")
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
        assertEquals(tooLarge.distinct().size, tooLarge.size, "nothing is sent twice unchanged")
        place("big", 0..9)
        time.after(timing.workerLeaseTtlMs) {}
        time.runUntil(time.nowMs + timing.workerLeaseTtlMs)
        flush(2)
        assertEquals(10, stored("big").placements.size, "with fewer placements it fits")
    }

    /** As the watch does it, before or after the answer to the write. */
    private fun watchBrings(id: String) {
        val head = store.entry(Keys.job(id)) ?: error("$id is stored")
        val whole = RecordLayout.merge(head.value) { store.entry(Keys.part(id, it))?.value }
        cluster.applyJob(JobId(id), CachedJob.read(whole, head.version), whole)
    }

    @Test
    fun `the slow answer to one write doesn't count as that to the next one`() {
        lead(isSwitchedOn = true, record("job", 4))
        val waiting = ArrayList<Held>().also { held = it }
        place("job", 0..0)
        commits.flush()
        store.commit(waiting[0].transaction)
        watchBrings("job")
        place("job", 1..1)
        commits.flush()
        assertEquals(2, waiting.size, "the second write is on its way")
        waiting[0].answer(CommitOutcome.Applied(store.revision))
        val job = cluster.jobs.getValue(JobId("job"))
        assertEquals(listOf(true, false), job.attempts.values.map { it.isCommitted }, "what may be started")
        waiting[1].answer(CommitOutcome.Refused)
        held = null
        flush(2)
        assertEquals(setOf(0, 1), stored("job").placements.keys, "what was refused is written again")
        assertEquals(listOf(true, true), job.attempts.values.map { it.isCommitted })
    }
}
