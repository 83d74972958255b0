package oxbowlug.core

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import oxbowlug.config.SettingsFile
import oxbowlug.sim.DriftingClock
import oxbowlug.sim.SimStore
import oxbowlug.sim.World
import oxbowlug.wire.Change
import oxbowlug.wire.JobId
import oxbowlug.wire.JobSpecCodec
import oxbowlug.wire.JobSpecCodecTest
import oxbowlug.wire.JobView
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineType
import oxbowlug.wire.ReadPage
import oxbowlug.wire.ShownState
import oxbowlug.wire.TeamName
import oxbowlug.wire.Transaction
import oxbowlug.wire.TypeName
import oxbowlug.wire.Zone
import java.util.BitSet
import kotlin.random.Random

/** Users' requests that meet another controller's write in the very moment of their own. */
class DeskTest {
    private val settings = SettingsFile.parse(SettingsTexts.valid)
    private val world = World(1)
    private val store = SimStore(world)
    private val clock = DriftingClock(world, 0.0, 0)
    private val spec = JobSpecCodec.decode(JobSpecCodecTest.valid()).copy(team = TeamName("vision"), tasks = 2)
    private val key = Keys.job(spec.id.value)
    private val types = listOf(
        MachineType(TypeName("g8"), 64.0, 8.0, 256.0, 200.0, 2.0, 20.0, 8.0, 8.0, listOf(Zone("a"))),
    ).associateBy { it.name }

    /** Runs just before the next transaction is carried out. */
    private var meanwhile: () -> Unit = {}

    /** Runs after it, before its answer is heard. */
    private var beforeAnswer: () -> Unit = {}

    private inner class Port : StatePort {
        override fun commit(transaction: Transaction, done: (CommitOutcome) -> Unit) {
            meanwhile().also { meanwhile = {} }
            val outcome = store.commit(transaction)
            beforeAnswer().also { beforeAnswer = {} }
            done(outcome)
        }

        override fun readPage(prefix: String, after: String?, done: (ReadPage?) -> Unit) =
            done(store.read(prefix, after, 100))

        override fun changes(prefix: String, from: Long, waitMs: Long, done: (ChangesOutcome) -> Unit) {
            if (waitMs == 0L) done(store.changes(prefix, from))
        }

        override fun grant(lifeMs: Long, done: (Long?) -> Unit) = Unit

        override fun touch(lease: Long, done: (TouchOutcome) -> Unit) = Unit

        override fun release(lease: Long) = Unit
    }

    private object Ignored : ReplicaListener {
        override fun onRoster() = Unit

        override fun onView(view: View) = Unit

        override fun onJob(id: JobId, job: StoredJob, value: Map<String, Any?>) = Unit
    }

    private object NoMeters : Meters {
        override fun stepped(nanos: Long) = Unit

        override fun planned(nanos: Long, priced: Int) = Unit

        override fun waited(millis: Long) = Unit

        override fun committed(millis: Long) = Unit

        override fun refused(reason: String) = Unit
    }

    private val timing = Timing(settings, Random(1))
    private val replica = Replica(Port(), clock, timing, Ignored)
    private val told = ArrayList<String>()

    private fun desk(copy: Replica) = Desk(
        Names(Member("n0", "x")), settings, Port(), clock, timing, copy, RateBudget(10.0), NoMeters,
        onCancelled = { id, _, value -> told.add("confirmed $id of ${machines(value)} machines") },
        onToldCancelled = { told.add("told $it") },
    )

    private fun machines(value: Map<String, Any?>): Int = (value["run"] as? Map<*, *>)?.size ?: 0

    private fun write(phase: Phase, placedOn: List<String>, done: Int = 0) {
        val placements = placedOn.withIndex().associate { (task, host) -> task to Placement(MachineId(host), 1) }
        val record = JobRecord(spec, 5, phase, BitSet().apply { set(0, done) }, 2, placements, "w-$phase-$placedOn")
        store.commit(Transaction(emptyList(), listOf(Change.Put(key, record.encode()))))
    }

    @Test
    fun `what another controller wrote in the same moment isn't written over`() {
        class Case(
            val name: String,
            val meanwhile: () -> Unit,
            val shown: ShownState,
            val said: List<String>,
            val machines: Int,
        )
        val cases = listOf(
            Case("nothing", {}, ShownState.CANCELLED, listOf("confirmed ${spec.id} of 1 machines"), 1),
            // Written over, the last end would be taken back, or a start that is on its way forgotten.
            Case("the last end", { write(Phase.DONE, emptyList(), 2) }, ShownState.DONE, emptyList(), 0),
            Case(
                "a placement", { write(Phase.ACTIVE, listOf("host-1", "host-2")) }, ShownState.CANCELLED,
                listOf("confirmed ${spec.id} of 2 machines"), 2,
            ),
            Case(
                "another cancellation", { write(Phase.CANCELLED, listOf("host-1")) }, ShownState.CANCELLED,
                listOf("told ${spec.id}"), 1,
            ),
        )
        for (case in cases) {
            told.clear()
            write(Phase.ACTIVE, listOf("host-1"))
            // A new copy for each, since final states are remembered for good.
            val answers = ArrayList<UserAnswer>()
            val fresh = Replica(Port(), clock, timing, Ignored).apply { tick() }
            meanwhile = case.meanwhile
            desk(fresh).cancel(spec.id) { answers.add(it) }
            world.runUntil(world.nowMs + 1_000)
            repeat(5) { fresh.tick() }
            val shown = answers.map { (it as UserAnswer.Known).view.state }
            assertEquals(listOf(case.shown), shown, case.name)
            assertEquals(case.said, told, case.name)
            val stored = JobRecord.decode(store.entry(key)?.value.orEmpty())
            assertEquals(case.machines, stored.placements.size, case.name)
        }
    }

    @Test
    fun `a slow answer to an accepted job doesn't speak over its cancellation`() {
        replica.tick()
        beforeAnswer = {
            write(Phase.CANCELLED, emptyList())
            replica.catchUp {}
        }
        val answers = ArrayList<UserAnswer>()
        desk(replica).submit(spec, types) { answers.add(it) }
        assertEquals(listOf(UserAnswer.Known(JobView(spec.id, ShownState.CANCELLED, 0, 0))), answers)
    }
}
