package oxbowlug.request

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import oxbowlug.cache.StateCache
import oxbowlug.config.SettingsFile
import oxbowlug.config.WriteLimits
import oxbowlug.port.CancellationListener
import oxbowlug.port.CommitOutcome
import oxbowlug.record.DataFormat
import oxbowlug.record.JobRecord
import oxbowlug.record.Keys
import oxbowlug.record.Member
import oxbowlug.record.Phase
import oxbowlug.record.Placement
import oxbowlug.record.RecordLayout
import oxbowlug.record.RequestIds
import oxbowlug.sim.DriftingClock
import oxbowlug.standin.SimStore
import oxbowlug.standin.World
import oxbowlug.testing.FailingMeters
import oxbowlug.testing.NoOpStateCacheListener
import oxbowlug.testing.ImmediateStatePort
import oxbowlug.testing.SampleSettings
import oxbowlug.testing.permissiveContext
import oxbowlug.timing.Timing
import oxbowlug.timing.TokenBucket
import oxbowlug.wire.Change
import oxbowlug.wire.JobId
import oxbowlug.wire.JobKind
import oxbowlug.wire.JobSpec
import oxbowlug.wire.JobSpecCodec
import oxbowlug.wire.JobSpecCodecTest
import oxbowlug.wire.JobState
import oxbowlug.wire.JobStatus
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineType
import oxbowlug.wire.TeamName
import oxbowlug.wire.Transaction
import oxbowlug.wire.TypeName
import oxbowlug.wire.Zone
import java.util.BitSet
import kotlin.random.Random

/** Users' requests that meet another controller's write in the very moment of their own. */
internal class UserRequestHandlerTest {
    private val settings = SettingsFile.parse(SampleSettings.valid)
    private val world = World(1)
    private val store = SimStore(world)
    private val clock = DriftingClock(world, 0.0, 0)
    private val spec = JobSpecCodec.decode(JobSpecCodecTest.valid()).copy(team = TeamName("vision"), tasks = 2)
    private val key = Keys.job(spec.id.value)
    private val types =
        listOf(
            MachineType(TypeName("g8"), 64.0, 8.0, 256.0, 200.0, 2.0, 20.0, 8.0, 8.0, listOf(Zone("a"))),
        ).associateBy { it.name }

    /** Runs just before the next transaction is carried out. */
    private var meanwhile: () -> Unit = {}

    /** Runs after it, before its answer is heard. */
    private var beforeAnswer: () -> Unit = {}

    private inner class Port : ImmediateStatePort(store) {
        override fun commit(
            transaction: Transaction,
            done: (CommitOutcome) -> Unit,
        ) {
            meanwhile().also { meanwhile = {} }
            val outcome = store.commit(transaction)
            beforeAnswer().also { beforeAnswer = {} }
            done(outcome)
        }
    }

    private val timing = Timing(settings, Random(1))
    private val cache = StateCache(Port(), clock, timing, NoOpStateCacheListener)
    private val told = ArrayList<String>()

    private inner class RecordingListener(
        private val recordsAnswers: Boolean,
    ) : CancellationListener {
        override fun onCancellationCommitted(
            id: JobId,
            revision: Long,
            record: Map<String, Any?>,
        ) {
            told.add("confirmed $id of ${machines(record)} machines")
        }

        override fun onCancellationAnswered(id: JobId) {
            if (recordsAnswers) told.add("told $id")
        }
    }

    private fun jobRequests(copy: StateCache) =
        UserRequestHandler(
            RequestIds(Member("n0", "x")),
            settings,
            Port(),
            clock,
            timing,
            copy,
            TokenBucket(10.0),
            FailingMeters,
            RecordingListener(recordsAnswers = true),
            permissiveContext,
        )

    private fun machines(value: Map<String, Any?>): Int = (value["run"] as? Map<*, *>)?.size ?: 0

    private fun write(
        phase: Phase,
        placedOn: List<String>,
        done: Int = 0,
    ) {
        val placements = placedOn.withIndex().associate { (task, host) -> task to Placement(MachineId(host), 1) }
        val record = JobRecord(spec, 5, phase, BitSet().apply { set(0, done) }, 2, placements, "w-$phase-$placedOn")
        store.commit(Transaction(emptyList(), listOf(Change.Put(key, record.encode()))))
    }

    @Test
    fun `what another controller wrote in the same moment isn't written over`() {
        class Case(
            val name: String,
            val meanwhile: () -> Unit,
            val shown: JobState,
            val said: List<String>,
            val machines: Int,
        )
        val cases =
            listOf(
                Case("nothing", {}, JobState.CANCELLED, listOf("confirmed ${spec.id} of 1 machines"), 1),
                // Written over, the last end would be taken back, or a start that is on its way forgotten.
                Case("the last end", { write(Phase.DONE, emptyList(), 2) }, JobState.DONE, emptyList(), 0),
                Case(
                    "a placement",
                    { write(Phase.ACTIVE, listOf("host-1", "host-2")) },
                    JobState.CANCELLED,
                    listOf("confirmed ${spec.id} of 2 machines"),
                    2,
                ),
                Case(
                    "another cancellation",
                    { write(Phase.CANCELLED, listOf("host-1")) },
                    JobState.CANCELLED,
                    listOf("told ${spec.id}"),
                    1,
                ),
            )
        for (case in cases) {
            told.clear()
            write(Phase.ACTIVE, listOf("host-1"))
            // A new copy for each, since final states are remembered for good.
            val answers = ArrayList<UserResponse>()
            val fresh = StateCache(Port(), clock, timing, NoOpStateCacheListener).apply { tick() }
            meanwhile = case.meanwhile
            jobRequests(fresh).cancel(spec.id) { answers.add(it) }
            world.runUntil(world.nowMs + 1_000)
            repeat(5) { fresh.tick() }
            val shown = answers.map { (it as UserResponse.Known).status.state }
            assertEquals(listOf(case.shown), shown, case.name)
            assertEquals(case.said, told, case.name)
            val stored = JobRecord.decode(store.entry(key)?.value.orEmpty())
            assertEquals(case.machines, stored.placements.size, case.name)
        }
    }

    private fun accept(
        id: String,
        kind: JobKind = JobKind.ARRAY,
        phase: Phase = Phase.ACTIVE,
    ) {
        val record =
            JobRecord(
                spec.copy(id = JobId(id), kind = kind),
                5,
                phase,
                BitSet(),
                1,
                emptyMap(),
                "w-$id",
            )
        store.commit(Transaction(emptyList(), listOf(Change.Put(Keys.job(id), record.encode()))))
    }

    private fun switchFormatOn() {
        store.commit(Transaction(emptyList(), listOf(Change.Put(Keys.FORMAT_MARKER, DataFormat.encode(DataFormat.NEWEST)))))
    }

    private fun answerTo(
        copy: StateCache,
        spec: JobSpec,
    ): UserResponse {
        val answers = ArrayList<UserResponse>()
        jobRequests(copy).submit(spec, types) { answers.add(it) }
        world.runUntil(world.nowMs + 1_000)
        repeat(5) { copy.tick() }
        return answers.single()
    }

    @Test
    fun `jobs to wait for have to be known for sure, and known by another controller is known`() {
        class Case(
            val name: String,
            val dependsOn: String,
            val expected: String,
            val meanwhile: () -> Unit = {},
        )
        val cases =
            listOf(
                Case("accepted", "run-a", "Accepted"),
                Case("done", "run-done", "Accepted"),
                Case("cancelled", "run-gone", "Accepted"),
                Case("accepted by another controller a moment ago", "run-new", "Accepted") { accept("run-new") },
                Case("never submitted", "run-never", "Rejected"),
                Case("a service", "run-service", "Rejected"),
                Case("the job itself", spec.id.value, "Rejected"),
                Case("a record that can't be read", "run-torn", "Unavailable"),
            )
        for (case in cases) {
            switchFormatOn()
            accept("run-a")
            accept("run-done", phase = Phase.DONE)
            accept("run-gone", phase = Phase.CANCELLED)
            accept("run-service", kind = JobKind.SERVICE)
            val torn = mapOf<String, Any?>("phase" to "unheard of")
            store.commit(Transaction(emptyList(), listOf(Change.Put(Keys.job("run-torn"), torn))))
            store.commit(Transaction(emptyList(), listOf(Change.Delete(key))))
            val copy = StateCache(Port(), clock, timing, NoOpStateCacheListener).apply { tick() }
            case.meanwhile()
            val answer = answerTo(copy, spec.copy(dependsOn = listOf(JobId(case.dependsOn))))
            assertEquals(case.expected, answer::class.simpleName, case.name)
        }
    }

    @Test
    fun `while a controller may be of the version before, jobs that wait for others are sent away for a while`() {
        accept("run-a")
        val copy = StateCache(Port(), clock, timing, NoOpStateCacheListener).apply { tick() }
        val answer = answerTo(copy, spec.copy(dependsOn = listOf(JobId("run-a"))))
        assertEquals(true, answer is UserResponse.Unavailable && answer.retryAfterS > 0)
        assertEquals(true, answerTo(copy, spec) is UserResponse.Accepted, "others are taken")
    }

    @Test
    fun `nothing is written under a newer version's marker`() {
        store.commit(Transaction(emptyList(), listOf(Change.Put(Keys.FORMAT_MARKER, DataFormat.encode(99)))))
        accept("run-a")
        val copy = StateCache(Port(), clock, timing, NoOpStateCacheListener).apply { tick() }
        val before = store.revision
        assertEquals(true, answerTo(copy, spec) is UserResponse.Unavailable)
        jobRequests(copy).cancel(JobId("run-a")) { assertEquals(true, it is UserResponse.Unavailable) }
        assertEquals(before, store.revision)
    }

    @Test
    fun `a repeated submission gets the job's present state, whatever its list says`() {
        accept("run-a")
        val copy = StateCache(Port(), clock, timing, NoOpStateCacheListener).apply { tick() }
        val never = spec.copy(id = JobId("run-a"), dependsOn = listOf(JobId("run-never")))
        assertEquals(true, answerTo(copy, never) is UserResponse.Known)
        for ((id, expected) in listOf("run-a" to "Known", "run-b" to "Malformed")) {
            val answers = ArrayList<UserResponse>()
            jobRequests(copy).submitMalformed(JobId(id), "waits_on: must be a list") { answers.add(it) }
            world.runUntil(world.nowMs + 1_000)
            repeat(5) { copy.tick() }
            assertEquals(listOf(expected), answers.map { it::class.simpleName }, id)
        }
    }

    @Test
    fun `a job whose record is larger than can be stored is refused by its field, and nothing is stored`() {
        switchFormatOn()
        val names = List(120) { "a".repeat(90) + it }
        names.forEach { accept(it) }
        val small = settings.state.copy(next = WriteLimits(15.0, 2.0, 4))
        val copy = StateCache(Port(), clock, timing, NoOpStateCacheListener).apply { tick() }
        val jobRequests =
            UserRequestHandler(
                RequestIds(Member("n0", "x")),
                settings.copy(state = small),
                Port(),
                clock,
                timing,
                copy,
                TokenBucket(10.0),
                FailingMeters,
                RecordingListener(recordsAnswers = false),
                permissiveContext,
            )
        val before = store.revision
        val answers = ArrayList<UserResponse>()
        jobRequests.submit(spec.copy(dependsOn = names.map(::JobId)), types) { answers.add(it) }
        assertEquals(UserResponse.Malformed("waits_on: is larger than can be stored"), answers.single())
        assertEquals(before, store.revision)
    }

    @Test
    fun `a large job is cancelled by its head alone, and one of the version before is divided for it`() {
        val placements = (0 until 240).associateWith { Placement(MachineId("host-%06d".format(it)), 1) }
        val record = JobRecord(spec.copy(tasks = 240), 5, Phase.ACTIVE, BitSet(), 2, placements, "w-1").encode()
        val limits = WriteLimits(15.0, 2.0, 4)
        val form = RecordLayout(limits).split(record) ?: error("doesn't fit")
        val divided =
            listOf(Change.Put(key, form.head)) +
                form.parts.mapIndexed { index, part -> Change.Put(Keys.part(spec.id.value, index), part) }
        for (changes in listOf(divided, listOf(Change.Put(key, record)))) {
            store.limits = null
            switchFormatOn()
            store.commit(Transaction(emptyList(), changes))
            val copy = StateCache(Port(), clock, timing, NoOpStateCacheListener).apply { tick() }
            store.limits = limits
            world.runUntil(world.nowMs + 2_000)
            told.clear()
            val jobRequests =
                UserRequestHandler(
                    RequestIds(Member("n0", "x")),
                    settings.copy(state = settings.state.copy(next = limits)),
                    Port(),
                    clock,
                    timing,
                    copy,
                    TokenBucket(10.0),
                    FailingMeters,
                    RecordingListener(recordsAnswers = false),
                    permissiveContext,
                )
            val answers = ArrayList<UserResponse>()
            jobRequests.cancel(spec.id) { answers.add(it) }
            world.runUntil(world.nowMs + 1_000)
            assertEquals(JobState.CANCELLED, (answers.single() as UserResponse.Known).status.state)
            assertEquals(listOf("confirmed ${spec.id} of 240 machines"), told)
            val read = StateCache(Port(), clock, timing, NoOpStateCacheListener).apply { tick() }.job(spec.id)
            assertEquals(240, read?.placed, "whoever reads it knows every machine")
            store.limits = null
        }
    }

    @Test
    fun `a slow answer to an accepted job doesn't speak over its cancellation`() {
        cache.tick()
        beforeAnswer = {
            write(Phase.CANCELLED, emptyList())
            cache.catchUp {}
        }
        val answers = ArrayList<UserResponse>()
        jobRequests(cache).submit(spec, types) { answers.add(it) }
        assertEquals(listOf(UserResponse.Known(JobStatus(spec.id, JobState.CANCELLED, 0, 0))), answers)
    }
}
