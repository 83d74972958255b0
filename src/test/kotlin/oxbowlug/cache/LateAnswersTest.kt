package oxbowlug.cache

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import oxbowlug.config.SettingsFile
import oxbowlug.election.LeaderElection
import oxbowlug.port.ChangesOutcome
import oxbowlug.port.LeaseRenewalOutcome
import oxbowlug.record.Member
import oxbowlug.standin.SimStore
import oxbowlug.standin.VirtualTime
import oxbowlug.testing.NoOpStateCacheListener
import oxbowlug.testing.ImmediateStatePort
import oxbowlug.testing.ManualClock
import oxbowlug.testing.SampleSettings
import oxbowlug.timing.Timing
import oxbowlug.wire.Change
import oxbowlug.wire.Transaction
import kotlin.random.Random

/** Answers of the state service that come when what they were about is no more. */
internal class LateAnswersTest {
    private val clock = ManualClock()
    private val store = SimStore(VirtualTime(1), historyLimit = 2)
    private val timing = Timing(SettingsFile.parse(SampleSettings.valid), Random(1))
    private val watches = ArrayList<(ChangesOutcome) -> Unit>()
    private val touches = ArrayList<(LeaseRenewalOutcome) -> Unit>()
    private var grants = 0

    /** Watches and renewals wait until the test answers them. */
    private inner class Port : ImmediateStatePort(store) {
        override fun changes(
            prefix: String,
            from: Long,
            waitMs: Long,
            done: (ChangesOutcome) -> Unit,
        ) {
            if (waitMs > 0) watches.add(done) else super.changes(prefix, from, waitMs, done)
        }

        override fun grantLease(
            ttlMs: Long,
            done: (Long?) -> Unit,
        ) {
            grants++
            done(store.grantLease(ttlMs))
        }

        override fun keepLeaseAlive(
            lease: Long,
            done: (LeaseRenewalOutcome) -> Unit,
        ) {
            touches.add(done)
        }
    }

    private val cache = StateCache(Port(), clock, timing, NoOpStateCacheListener)
    private val election = LeaderElection(Member("n0", "x"), Port(), clock, timing, cache, changesPerTransaction = 16)

    private fun put(key: String) = store.commit(Transaction(emptyList(), listOf(Change.Put(key, mapOf("x" to 1L)))))

    private fun tick() {
        clock.now += timing.leadershipRenewIntervalMs
        cache.tick()
        election.tick()
    }

    @Test
    fun `that changes before a full resync are gone doesn't cause another one`() {
        cache.tick()
        cache.tick()
        assertEquals(1, watches.size)
        repeat(3) { put("ox/x$it") }
        cache.catchUp {}
        cache.tick()
        assertEquals(2, cache.fullResyncs)
        watches[0](ChangesOutcome.Compacted)
        var isCaughtUp = false
        clock.now += timing.catchUpGapMs
        cache.catchUp { isCaughtUp = it }
        assertTrue(isCaughtUp, "users are answered")
        cache.tick()
        assertEquals(2, cache.fullResyncs)
    }

    @Test
    fun `the renewal of a lease that was released doesn't cut the pause short`() {
        tick()
        tick()
        assertEquals(1, touches.size)
        election.resign()
        touches[0](LeaseRenewalOutcome.RENEWED)
        repeat(2) { tick() }
        assertEquals(1, grants, "no new lease before the pause is over")
        clock.now += timing.workerLeaseTtlMs
        tick()
        assertEquals(2, grants)
    }
}
