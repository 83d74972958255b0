package oxbowlug.cache

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import oxbowlug.config.SettingsFile
import oxbowlug.config.WriteLimits
import oxbowlug.record.JobRecord
import oxbowlug.record.Keys
import oxbowlug.record.Phase
import oxbowlug.record.Placement
import oxbowlug.record.RecordLayout
import oxbowlug.sim.DriftingClock
import oxbowlug.standin.SimStore
import oxbowlug.standin.VirtualTime
import oxbowlug.testing.NoOpStateCacheListener
import oxbowlug.testing.ImmediateStatePort
import oxbowlug.testing.SampleSettings
import oxbowlug.timing.Timing
import oxbowlug.wire.Change
import oxbowlug.wire.Condition
import oxbowlug.wire.JobId
import oxbowlug.wire.JobSpec
import oxbowlug.wire.JobSpecCodec
import oxbowlug.wire.JobSpecCodecTest
import oxbowlug.wire.MachineId
import oxbowlug.wire.ReadPage
import oxbowlug.wire.Transaction
import java.util.BitSet
import kotlin.random.Random

/**
 * Guards against torn reads: a full resync reads small pages while jobs are accepted, placed, cancelled and finished.
 * Each job record that the state cache reports for a revision must equal the record stored at that revision.
 */
internal class TornRecordTest {
    private val time = VirtualTime(1)
    private val clock = DriftingClock(time, 0.0, 0)
    private val timing = Timing(SettingsFile.parse(SampleSettings.valid), Random(1))
    private val spec = JobSpecCodec.decode(JobSpecCodecTest.valid())

    /** Writes job records as a leader and users do: a head, and of the parts only those that changed. */
    private class Writer(
        val store: SimStore,
        val random: Random,
        val templateSpec: JobSpec,
    ) {
        private class Stored(
            val record: JobRecord,
            val parts: List<Map<String, Any?>>,
        )

        private val layout = RecordLayout(LIMITS)
        private val jobs = LinkedHashMap<String, Stored>()
        private var writes = 0

        /** The record of each job at each revision that changed it. */
        val recordsByRevision = HashMap<Pair<String, Long>, JobRecord>()

        fun step() {
            val id = jobs.keys.filter { jobs.getValue(it).record.phase == Phase.ACTIVE }.randomOrNull(random)
            if (id == null || random.nextInt(STEPS_PER_JOB) == 0) accept() else change(id, jobs.getValue(id))
        }

        private fun accept() {
            val id = "run-%06d".format(random.nextInt(MAX_JOBS))
            if (id in jobs) return
            val predecessors = List(random.nextInt(MAX_PREDECESSORS)) { JobId("run-9%05d".format(it)) }
            put(id, record(id, Phase.ACTIVE, emptyMap(), predecessors), emptyList())
        }

        private fun change(
            id: String,
            stored: Stored,
        ) {
            val old = stored.record
            val predecessors = old.spec.dependsOn
            when (random.nextInt(STEPS_PER_CANCELLATION)) {
                0 -> putHead(id, record(id, Phase.CANCELLED, old.placements, predecessors), stored.parts)
                1 -> put(id, record(id, Phase.DONE, emptyMap(), predecessors), stored.parts)
                else -> put(id, record(id, Phase.ACTIVE, placements(), predecessors), stored.parts)
            }
        }

        private fun placements(): Map<Int, Placement> =
            (0 until random.nextInt(MAX_PLACED_TASKS)).associateWith {
                Placement(MachineId("host-%06d".format(random.nextInt(MAX_JOBS))), 1L + random.nextInt(9))
            }

        private fun record(
            id: String,
            phase: Phase,
            placements: Map<Int, Placement>,
            predecessors: List<JobId>,
        ) = JobRecord(
            templateSpec.copy(id = JobId(id), tasks = MAX_PLACED_TASKS, dependsOn = predecessors),
            5,
            phase,
            BitSet(),
            2,
            placements,
            "w-${writes++}",
        )

        private fun put(
            id: String,
            record: JobRecord,
            previousParts: List<Map<String, Any?>>,
        ) {
            val stored = layout.split(record.encode()) ?: return
            val changes = ArrayList<Change>()
            changes.add(Change.Put(Keys.job(id), stored.head))
            for ((index, part) in stored.parts.withIndex()) {
                if (previousParts.getOrNull(index) != part) changes.add(Change.Put(Keys.part(id, index), part))
            }
            for (index in stored.parts.size until previousParts.size) changes.add(Change.Delete(Keys.part(id, index)))
            commit(id, changes, record, stored.parts)
        }

        /** Writes a cancellation, which leaves the parts unchanged. */
        private fun putHead(
            id: String,
            record: JobRecord,
            parts: List<Map<String, Any?>>,
        ) {
            val wholeRecord = record.encode() + mapOf(RecordLayout.PARTS to parts.size.toLong())
            val head = if (parts.isEmpty()) record.encode() else layout.headOnly(wholeRecord)
            commit(id, listOf(Change.Put(Keys.job(id), head)), record, parts)
        }

        private fun commit(
            id: String,
            changes: List<Change>,
            record: JobRecord,
            parts: List<Map<String, Any?>>,
        ) {
            store.commit(Transaction(emptyList<Condition>(), changes))
            recordsByRevision[id to store.revision] = record
            jobs[id] = Stored(record, parts)
        }
    }

    /** Lets the writer change records between the reads of pages, so that each page shows a different revision. */
    private inner class WritingStatePort(
        private val store: SimStore,
        private val writer: Writer,
    ) : ImmediateStatePort(store) {
        override fun readPage(
            prefix: String,
            after: String?,
            done: (ReadPage?) -> Unit,
        ) {
            val page = store.read(prefix, after, PAGE_ENTRIES)
            repeat(WRITES_PER_PAGE) { writer.step() }
            done(page)
        }
    }

    private class Applied(
        val id: JobId,
        val version: Long,
        val value: Map<String, Any?>,
    )

    private inner class RecordingListener(
        private val applied: MutableList<Applied>,
    ) : StateCacheListener by NoOpStateCacheListener {
        override fun onJob(
            id: JobId,
            job: CachedJob,
            value: Map<String, Any?>,
        ) {
            applied.add(Applied(id, job.version, value))
        }
    }

    @Test
    fun `a record is never merged from values of different revisions`() {
        for (seed in 1L..SEEDS) {
            val store = SimStore(time)
            val writer = Writer(store, Random(seed), spec)
            repeat(WRITES_BEFORE_RESYNC) { writer.step() }
            val applied = ArrayList<Applied>()
            val cache = StateCache(WritingStatePort(store, writer), clock, timing, RecordingListener(applied))
            cache.tick()
            val appliedByResync = applied.size
            cache.catchUp {}
            assertTrue(applied.size > appliedByResync, "changes were replayed")
            for (change in applied) {
                val stored = writer.recordsByRevision.getValue(change.id.value to change.version)
                val what = "seed $seed, ${change.id} at ${change.version}"
                val read = JobRecord.decode(change.value)
                assertEquals(stored.placements, read.placements, what)
                if (stored.phase == Phase.ACTIVE) assertEquals(stored.spec.dependsOn, read.spec.dependsOn, what)
            }
            for ((id, revisions) in writer.recordsByRevision.keys.groupBy({ it.first }, { it.second })) {
                val job = cache.job(JobId(id))
                assertEquals(revisions.max(), job?.version, "seed $seed, $id in the end")
                assertEquals(false, job?.isUnreadable, "seed $seed, $id in the end")
            }
        }
    }

    private companion object {
        val LIMITS = WriteLimits(writeRps = 30.0, valueKb = 0.7, txnOps = 8)
        const val SEEDS = 20L
        const val PAGE_ENTRIES = 7
        const val WRITES_PER_PAGE = 3
        const val WRITES_BEFORE_RESYNC = 120
        const val MAX_JOBS = 900
        const val MAX_PREDECESSORS = 40
        const val MAX_PLACED_TASKS = 24
        const val STEPS_PER_JOB = 4
        const val STEPS_PER_CANCELLATION = 12
    }
}
