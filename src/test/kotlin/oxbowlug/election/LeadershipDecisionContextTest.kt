package oxbowlug.election

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import oxbowlug.cache.StateCache
import oxbowlug.config.SettingsFile
import oxbowlug.record.Keys
import oxbowlug.record.LeadershipRecord
import oxbowlug.record.Member
import oxbowlug.standin.SimStore
import oxbowlug.standin.VirtualTime
import oxbowlug.testing.NoOpStateCacheListener
import oxbowlug.testing.ImmediateStatePort
import oxbowlug.testing.ManualClock
import oxbowlug.testing.SampleSettings
import oxbowlug.timing.Timing
import oxbowlug.wire.Change
import oxbowlug.wire.FencingToken
import oxbowlug.wire.Transaction
import kotlin.random.Random

/** The decision context in log lines, and the staleness of the state cache in it. */
internal class LeadershipDecisionContextTest {
    private val clock = ManualClock()
    private val self = Member("n0", "x")
    private val store = SimStore(VirtualTime(1), historyLimit = 2)
    private val timing = Timing(SettingsFile.parse(SampleSettings.valid), Random(1))

    private inner class Port : ImmediateStatePort(store) {
        override fun grantLease(
            ttlMs: Long,
            done: (Long?) -> Unit,
        ) = done(store.grantLease(ttlMs))
    }

    private val cache = StateCache(Port(), clock, timing, NoOpStateCacheListener)
    private val election = LeaderElection(self, Port(), clock, timing, cache, changesPerTransaction = 1)
    private val decisions = LeadershipDecisionContext(clock, election, cache)

    private fun put(key: String) = store.commit(Transaction(emptyList(), listOf(Change.Put(key, mapOf("x" to 1L)))))

    @Test
    fun `the context names the role, the token, the lease's remaining time and the staleness of the cache`() {
        assertEquals("role=unknown leaseRemainingMs=0 revision=0 stalenessMs=0", decisions.describe())
        store.commit(
            Transaction(
                emptyList(),
                listOf(Change.Put(Keys.LEADERSHIP, LeadershipRecord(7, FencingToken(5), self, 0).encode())),
            ),
        )
        cache.tick()
        election.tick()
        cache.catchUp {}
        clock.now += 250
        val remainingMs = timing.leadershipLeaseValidityMs - 250
        val cacheState = "revision=${cache.revision} stalenessMs=250"
        assertEquals("role=leader epoch=7 token=5 leaseRemainingMs=$remainingMs $cacheState", decisions.describe())
        clock.now += timing.leadershipLeaseTtlMs
        assertTrue(decisions.describe().startsWith("role=renewal-only epoch=7 token=5 leaseRemainingMs=0 "))
    }

    @Test
    fun `a full resync is counted, and the cache's staleness is reset only by a read of changes`() {
        cache.tick()
        repeat(3) { put("ox/x$it") }
        clock.now += 1_000
        cache.catchUp {}
        assertEquals(1, cache.fullResyncs)
        cache.tick()
        assertEquals(2, cache.fullResyncs)
        assertEquals(1_000, cache.stalenessMs(clock.now))
        clock.now += 1_000
        cache.catchUp {}
        assertEquals(0, cache.stalenessMs(clock.now))
    }
}
