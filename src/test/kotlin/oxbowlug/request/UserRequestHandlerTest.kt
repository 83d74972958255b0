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
import oxbowlug.standin.VirtualTime
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

/**
 * Users' requests that race with writes of other controllers, and requests under the data formats and size limits of
 * stored records.
 */
internal class UserRequestHandlerTest {
    private val settings = SettingsFile.parse(SampleSettings.valid)
    private val time = VirtualTime(1)
    private val store = SimStore(time)
    private val clock = DriftingClock(time, 0.0, 0)
    private val spec = JobSpecCodec.decode(JobSpecCodecTest.valid()).copy(team = TeamName("vision"), tasks = 2)
    private val key = Keys.job(spec.id.value)
    private val types =
        listOf(
            MachineType(TypeName("g8"), 64.0, 8.0, 256.0, 200.0, 2.0, 20.0, 8.0, 8.0, listOf(Zone("a"))),
        ).associateBy { it.name }

    /** Runs once, just before the next transaction is executed. */
    private var beforeCommit: () -> Unit = {}

    /** Runs once, after the next transaction is executed and before its outcome is delivered. */
    private var beforeAnswer: () -> Unit = {}

    private inner class RacingStatePort : ImmediateStatePort(store) {
        override fun commit(
            transaction: Transaction,
            done: (CommitOutcome) -> Unit,
        ) {
            beforeCommit().also { beforeCommit = {} }
            val outcome = store.commit(transaction)
            beforeAnswer().also { beforeAnswer = {} }
            done(outcome)
        }
    }

    private val timing = Timing(settings, Random(1))
    private val cache = StateCache(RacingStatePort(), clock, timing, NoOpStateCacheListener)
    private val listenerCalls = ArrayList<String>()

    private inner class RecordingListener(
        private val recordsInformedUsers: Boolean,
    ) : CancellationListener {
        override fun onCancellationCommitted(
            id: JobId,
            revision: Long,
            record: Map<String, Any?>,
        ) {
            listenerCalls.add("committed $id with ${machineCount(record)} machines")
        }

        override fun onCancellationAnswered(id: JobId) {
            if (recordsInformedUsers) listenerCalls.add("informed $id")
        }
    }

    private fun requestHandler(stateCache: StateCache) =
        UserRequestHandler(
            RequestIds(Member("n0", "x")),
            settings,
            RacingStatePort(),
            clock,
            timing,
            stateCache,
            TokenBucket(10.0),
            FailingMeters,
            RecordingListener(recordsInformedUsers = true),
            permissiveContext,
        )

    private fun machineCount(value: Map<String, Any?>): Int = (value["run"] as? Map<*, *>)?.size ?: 0

    private fun storeJob(
        phase: Phase,
        machineIds: List<String>,
        done: Int = 0,
    ) {
        val placements = machineIds.withIndex().associate { (task, host) -> task to Placement(MachineId(host), 1) }
        val record = JobRecord(spec, 5, phase, BitSet().apply { set(0, done) }, 2, placements, "w-$phase-$machineIds")
        store.commit(Transaction(emptyList(), listOf(Change.Put(key, record.encode()))))
    }

    @Test
    fun `a cancellation does not overwrite a concurrent write of another controller`() {
        class Case(
            val name: String,
            val beforeCommit: () -> Unit,
            val expectedState: JobState,
            val expectedCalls: List<String>,
            val machineCount: Int,
        )
        val cases =
            listOf(
                Case("no write", {}, JobState.CANCELLED, listOf("committed ${spec.id} with 1 machines"), 1),
                // Overwritten, a completion would be undone, or an attempt that is being started lost from the record.
                Case("the last completion", { storeJob(Phase.DONE, emptyList(), 2) }, JobState.DONE, emptyList(), 0),
                Case(
                    "a placement",
                    { storeJob(Phase.ACTIVE, listOf("host-1", "host-2")) },
                    JobState.CANCELLED,
                    listOf("committed ${spec.id} with 2 machines"),
                    2,
                ),
                Case(
                    "another cancellation",
                    { storeJob(Phase.CANCELLED, listOf("host-1")) },
                    JobState.CANCELLED,
                    listOf("informed ${spec.id}"),
                    1,
                ),
            )
        for (case in cases) {
            listenerCalls.clear()
            storeJob(Phase.ACTIVE, listOf("host-1"))
            // Each case has a state cache of its own, since a cache never drops a final phase.
            val answers = ArrayList<UserResponse>()
            val caseCache = StateCache(RacingStatePort(), clock, timing, NoOpStateCacheListener).apply { tick() }
            beforeCommit = case.beforeCommit
            requestHandler(caseCache).cancel(spec.id) { answers.add(it) }
            time.runUntil(time.nowMs + 1_000)
            repeat(5) { caseCache.tick() }
            val states = answers.map { (it as UserResponse.Known).status.state }
            assertEquals(listOf(case.expectedState), states, case.name)
            assertEquals(case.expectedCalls, listenerCalls, case.name)
            val stored = JobRecord.decode(store.entry(key)?.value.orEmpty())
            assertEquals(case.machineCount, stored.placements.size, case.name)
        }
    }

    private fun storeAccepted(
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

    private fun enableNewestFormat() {
        store.commit(Transaction(emptyList(), listOf(Change.Put(Keys.FORMAT_MARKER, DataFormat.encode(DataFormat.NEWEST)))))
    }

    private fun submitAndAnswer(
        stateCache: StateCache,
        spec: JobSpec,
    ): UserResponse {
        val answers = ArrayList<UserResponse>()
        requestHandler(stateCache).submit(spec, types) { answers.add(it) }
        time.runUntil(time.nowMs + 1_000)
        repeat(5) { stateCache.tick() }
        return answers.single()
    }

    @Test
    fun `predecessors must have been accepted, by any controller`() {
        class Case(
            val name: String,
            val dependsOn: String,
            val expected: String,
            val beforeSubmission: () -> Unit = {},
        )
        val cases =
            listOf(
                Case("accepted", "run-a", "Accepted"),
                Case("done", "run-done", "Accepted"),
                Case("cancelled", "run-gone", "Accepted"),
                Case("accepted by another controller a moment ago", "run-new", "Accepted") { storeAccepted("run-new") },
                Case("never submitted", "run-never", "Rejected"),
                Case("a service", "run-service", "Rejected"),
                Case("the job itself", spec.id.value, "Rejected"),
                Case("a record that can't be read", "run-torn", "Unavailable"),
            )
        for (case in cases) {
            enableNewestFormat()
            storeAccepted("run-a")
            storeAccepted("run-done", phase = Phase.DONE)
            storeAccepted("run-gone", phase = Phase.CANCELLED)
            storeAccepted("run-service", kind = JobKind.SERVICE)
            val unreadable = mapOf<String, Any?>("phase" to "unheard of")
            store.commit(Transaction(emptyList(), listOf(Change.Put(Keys.job("run-torn"), unreadable))))
            store.commit(Transaction(emptyList(), listOf(Change.Delete(key))))
            val stateCache = StateCache(RacingStatePort(), clock, timing, NoOpStateCacheListener).apply { tick() }
            case.beforeSubmission()
            val answer = submitAndAnswer(stateCache, spec.copy(dependsOn = listOf(JobId(case.dependsOn))))
            assertEquals(case.expected, answer::class.simpleName, case.name)
        }
    }

    @Test
    fun `jobs with dependencies are unavailable while a controller may run the previous software version`() {
        storeAccepted("run-a")
        val stateCache = StateCache(RacingStatePort(), clock, timing, NoOpStateCacheListener).apply { tick() }
        val answer = submitAndAnswer(stateCache, spec.copy(dependsOn = listOf(JobId("run-a"))))
        assertEquals(true, answer is UserResponse.Unavailable && answer.retryAfterS > 0)
        assertEquals(true, submitAndAnswer(stateCache, spec) is UserResponse.Accepted, "independent jobs are accepted")
    }

    @Test
    fun `nothing is written under the format marker of a newer version`() {
        store.commit(Transaction(emptyList(), listOf(Change.Put(Keys.FORMAT_MARKER, DataFormat.encode(99)))))
        storeAccepted("run-a")
        val stateCache = StateCache(RacingStatePort(), clock, timing, NoOpStateCacheListener).apply { tick() }
        val revisionBefore = store.revision
        assertEquals(true, submitAndAnswer(stateCache, spec) is UserResponse.Unavailable)
        requestHandler(stateCache).cancel(JobId("run-a")) { assertEquals(true, it is UserResponse.Unavailable) }
        assertEquals(revisionBefore, store.revision)
    }

    @Test
    fun `a repeated submission gets the job's current state, whatever its dependencies`() {
        storeAccepted("run-a")
        val stateCache = StateCache(RacingStatePort(), clock, timing, NoOpStateCacheListener).apply { tick() }
        val repeated = spec.copy(id = JobId("run-a"), dependsOn = listOf(JobId("run-never")))
        assertEquals(true, submitAndAnswer(stateCache, repeated) is UserResponse.Known)
        for ((id, expected) in listOf("run-a" to "Known", "run-b" to "Malformed")) {
            val answers = ArrayList<UserResponse>()
            requestHandler(stateCache).submitMalformed(JobId(id), "waits_on: must be a list") { answers.add(it) }
            time.runUntil(time.nowMs + 1_000)
            repeat(5) { stateCache.tick() }
            assertEquals(listOf(expected), answers.map { it::class.simpleName }, id)
        }
    }

    @Test
    fun `a job whose record is too large to store is rejected with the field's name, and nothing is stored`() {
        enableNewestFormat()
        val names = List(120) { "a".repeat(90) + it }
        names.forEach { storeAccepted(it) }
        val smallLimits = settings.state.copy(next = WriteLimits(15.0, 2.0, 4))
        val stateCache = StateCache(RacingStatePort(), clock, timing, NoOpStateCacheListener).apply { tick() }
        val requestHandler =
            UserRequestHandler(
                RequestIds(Member("n0", "x")),
                settings.copy(state = smallLimits),
                RacingStatePort(),
                clock,
                timing,
                stateCache,
                TokenBucket(10.0),
                FailingMeters,
                RecordingListener(recordsInformedUsers = false),
                permissiveContext,
            )
        val revisionBefore = store.revision
        val answers = ArrayList<UserResponse>()
        requestHandler.submit(spec.copy(dependsOn = names.map(::JobId)), types) { answers.add(it) }
        assertEquals(UserResponse.Malformed("waits_on: is larger than can be stored"), answers.single())
        assertEquals(revisionBefore, store.revision)
    }

    @Test
    fun `a large job is cancelled by its head alone, and a record stored whole by the previous version is split`() {
        val placements = (0 until 240).associateWith { Placement(MachineId("host-%06d".format(it)), 1) }
        val record = JobRecord(spec.copy(tasks = 240), 5, Phase.ACTIVE, BitSet(), 2, placements, "w-1").encode()
        val limits = WriteLimits(15.0, 2.0, 4)
        val form = RecordLayout(limits).split(record) ?: error("doesn't fit")
        val splitRecord =
            listOf(Change.Put(key, form.head)) +
                form.parts.mapIndexed { index, part -> Change.Put(Keys.part(spec.id.value, index), part) }
        for (changes in listOf(splitRecord, listOf(Change.Put(key, record)))) {
            store.limits = null
            enableNewestFormat()
            store.commit(Transaction(emptyList(), changes))
            val stateCache = StateCache(RacingStatePort(), clock, timing, NoOpStateCacheListener).apply { tick() }
            store.limits = limits
            time.runUntil(time.nowMs + 2_000)
            listenerCalls.clear()
            val requestHandler =
                UserRequestHandler(
                    RequestIds(Member("n0", "x")),
                    settings.copy(state = settings.state.copy(next = limits)),
                    RacingStatePort(),
                    clock,
                    timing,
                    stateCache,
                    TokenBucket(10.0),
                    FailingMeters,
                    RecordingListener(recordsInformedUsers = false),
                    permissiveContext,
                )
            val answers = ArrayList<UserResponse>()
            requestHandler.cancel(spec.id) { answers.add(it) }
            time.runUntil(time.nowMs + 1_000)
            assertEquals(JobState.CANCELLED, (answers.single() as UserResponse.Known).status.state)
            assertEquals(listOf("committed ${spec.id} with 240 machines"), listenerCalls)
            val read = StateCache(RacingStatePort(), clock, timing, NoOpStateCacheListener).apply { tick() }.job(spec.id)
            assertEquals(240, read?.placed, "the stored record names every machine")
            store.limits = null
        }
    }

    @Test
    fun `a submission whose commit is answered slowly is answered with a later cancellation`() {
        cache.tick()
        beforeAnswer = {
            storeJob(Phase.CANCELLED, emptyList())
            cache.catchUp {}
        }
        val answers = ArrayList<UserResponse>()
        requestHandler(cache).submit(spec, types) { answers.add(it) }
        assertEquals(listOf(UserResponse.Known(JobStatus(spec.id, JobState.CANCELLED, 0, 0))), answers)
    }
}
