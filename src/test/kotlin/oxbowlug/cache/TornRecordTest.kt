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
 * A state cache that is read in small pages while jobs are accepted, placed, cancelled and ended: whatever it says of a
 * job at a revision is what was stored at that revision.
 */
internal class TornRecordTest {
    private val time = VirtualTime(1)
    private val clock = DriftingClock(time, 0.0, 0)
    private val timing = Timing(SettingsFile.parse(SampleSettings.valid), Random(1))
    private val spec = JobSpecCodec.decode(JobSpecCodecTest.valid())

    /** Jobs as a leader and users write them: a head, and parts of which only those that changed are written. */
    private class Writer(
        val store: SimStore,
        val random: Random,
        val valid: JobSpec,
    ) {
        private class Stored(
            val record: JobRecord,
            val parts: List<Map<String, Any?>>,
        )

        private val layout = RecordLayout(LIMITS)
        private val jobs = LinkedHashMap<String, Stored>()
        private var writes = 0

        /** What each job's record was at each revision that changed it. */
        val truth = HashMap<Pair<String, Long>, JobRecord>()

        fun step() {
            val id = jobs.keys.filter { jobs.getValue(it).record.phase == Phase.ACTIVE }.randomOrNull(random)
            if (id == null || random.nextInt(STEPS_A_JOB) == 0) accept() else change(id, jobs.getValue(id))
        }

        private fun accept() {
            val id = "run-%06d".format(random.nextInt(MOST_JOBS))
            if (id in jobs) return
            val needs = List(random.nextInt(MOST_NEEDS)) { JobId("run-9%05d".format(it)) }
            put(id, record(id, Phase.ACTIVE, emptyMap(), needs), emptyList())
        }

        private fun change(
            id: String,
            stored: Stored,
        ) {
            val old = stored.record
            val needs = old.spec.dependsOn
            when (random.nextInt(CANCELLED_IN)) {
                0 -> putHead(id, record(id, Phase.CANCELLED, old.placements, needs), stored.parts)
                1 -> put(id, record(id, Phase.DONE, emptyMap(), needs), stored.parts)
                else -> put(id, record(id, Phase.ACTIVE, placements(), needs), stored.parts)
            }
        }

        private fun placements(): Map<Int, Placement> =
            (0 until random.nextInt(MOST_PLACED)).associateWith {
                Placement(MachineId("host-%06d".format(random.nextInt(MOST_JOBS))), 1L + random.nextInt(9))
            }

        private fun record(
            id: String,
            phase: Phase,
            placements: Map<Int, Placement>,
            needs: List<JobId>,
        ) = JobRecord(
            valid.copy(id = JobId(id), tasks = MOST_PLACED, dependsOn = needs),
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
            present: List<Map<String, Any?>>,
        ) {
            val form = layout.split(record.encode()) ?: return
            val changes = ArrayList<Change>()
            changes.add(Change.Put(Keys.job(id), form.head))
            for ((index, part) in form.parts.withIndex()) {
                if (present.getOrNull(index) != part) changes.add(Change.Put(Keys.part(id, index), part))
            }
            for (index in form.parts.size until present.size) changes.add(Change.Delete(Keys.part(id, index)))
            commit(id, changes, record, form.parts)
        }

        /** A cancellation, which leaves the parts as they are. */
        private fun putHead(
            id: String,
            record: JobRecord,
            parts: List<Map<String, Any?>>,
        ) {
            val whole = record.encode() + mapOf(RecordLayout.PARTS to parts.size.toLong())
            val head = if (parts.isEmpty()) record.encode() else layout.headOnly(whole)
            commit(id, listOf(Change.Put(Keys.job(id), head)), record, parts)
        }

        private fun commit(
            id: String,
            changes: List<Change>,
            record: JobRecord,
            parts: List<Map<String, Any?>>,
        ) {
            store.commit(Transaction(emptyList<Condition>(), changes))
            truth[id to store.revision] = record
            jobs[id] = Stored(record, parts)
        }
    }

    private inner class Port(
        private val store: SimStore,
        private val writer: Writer,
    ) : ImmediateStatePort(store) {
        override fun readPage(
            prefix: String,
            after: String?,
            done: (ReadPage?) -> Unit,
        ) {
            val page = store.read(prefix, after, PAGE)
            repeat(WRITES_A_PAGE) { writer.step() }
            done(page)
        }
    }

    private class Applied(
        val id: JobId,
        val version: Long,
        val value: Map<String, Any?>,
    )

    private inner class Listener(
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
    fun `a record is never joined of values of different moments`() {
        for (seed in 1L..SEEDS) {
            val store = SimStore(time)
            val writer = Writer(store, Random(seed), spec)
            repeat(WRITES_BEFORE) { writer.step() }
            val applied = ArrayList<Applied>()
            val cache = StateCache(Port(store, writer), clock, timing, Listener(applied))
            cache.tick()
            val atReset = applied.size
            cache.catchUp {}
            assertTrue(applied.size > atReset, "changes were replayed")
            for (one in applied) {
                val stored = writer.truth.getValue(one.id.value to one.version)
                val what = "seed $seed, ${one.id} at ${one.version}"
                val read = JobRecord.decode(one.value)
                assertEquals(stored.placements, read.placements, what)
                if (stored.phase == Phase.ACTIVE) assertEquals(stored.spec.dependsOn, read.spec.dependsOn, what)
            }
            for ((id, revisions) in writer.truth.keys.groupBy({ it.first }, { it.second })) {
                val job = cache.job(JobId(id))
                assertEquals(revisions.max(), job?.version, "seed $seed, $id in the end")
                assertEquals(false, job?.isUnreadable, "seed $seed, $id in the end")
            }
        }
    }

    private companion object {
        val LIMITS = WriteLimits(writeRps = 30.0, valueKb = 0.7, txnOps = 8)
        const val SEEDS = 20L
        const val PAGE = 7
        const val WRITES_A_PAGE = 3
        const val WRITES_BEFORE = 120
        const val MOST_JOBS = 900
        const val MOST_NEEDS = 40
        const val MOST_PLACED = 24
        const val STEPS_A_JOB = 4
        const val CANCELLED_IN = 12
    }
}
