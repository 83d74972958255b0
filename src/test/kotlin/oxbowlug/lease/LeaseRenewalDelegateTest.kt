package oxbowlug.lease

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import oxbowlug.cache.StateCache
import oxbowlug.config.SettingsFile
import oxbowlug.port.ChangesOutcome
import oxbowlug.port.CommitOutcome
import oxbowlug.port.HeartbeatEcho
import oxbowlug.port.PeerHeartbeat
import oxbowlug.port.StatePort
import oxbowlug.port.LeaseRenewalOutcome
import oxbowlug.record.DelegateAssignments
import oxbowlug.record.Keys
import oxbowlug.record.LeadershipRecord
import oxbowlug.record.Member
import oxbowlug.region.Regions
import oxbowlug.standin.SimStore
import oxbowlug.standin.World
import oxbowlug.testing.NoOpStateCacheListener
import oxbowlug.testing.ManualClock
import oxbowlug.testing.SampleSettings
import oxbowlug.timing.Timing
import oxbowlug.wire.Change
import oxbowlug.wire.FencingToken
import oxbowlug.wire.MachineId
import oxbowlug.wire.ReadPage
import oxbowlug.wire.Transaction
import oxbowlug.wire.TypeName
import oxbowlug.wire.WorkerHeartbeat
import oxbowlug.wire.Zone
import kotlin.random.Random

/** When a lease is surely over although a deputy may have renewed it, and when a deputy may renew one. */
internal class LeaseRenewalDelegateTest {
    private val settings = SettingsFile.parse(SampleSettings.valid)
    private val timing = Timing(settings, Random(1))
    private val store = SimStore(World(1))
    private val leader = Member("n0", "x")
    private val delegate = Member("n1", "y")
    private val zone = Zone("b")
    private var isAway = false

    private val clock = ManualClock()

    /** Answers at once, or not at all. */
    private inner class Port : StatePort {
        override fun commit(
            transaction: Transaction,
            done: (CommitOutcome) -> Unit,
        ) = done(store.commit(transaction))

        override fun readPage(
            prefix: String,
            after: String?,
            done: (ReadPage?) -> Unit,
        ) = done(store.read(prefix, after, 100))

        override fun changes(
            prefix: String,
            from: Long,
            waitMs: Long,
            done: (ChangesOutcome) -> Unit,
        ) {
            if (waitMs == 0L) done(if (isAway) ChangesOutcome.Failed else store.changes(prefix, from))
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

    private fun put(
        key: String,
        value: Map<String, Any?>,
    ) {
        store.commit(Transaction(emptyList(), listOf(Change.Put(key, value))))
    }

    private fun cache(): StateCache {
        put(Keys.member(leader), emptyMap())
        put(Keys.member(delegate), emptyMap())
        put(Keys.LEADERSHIP, LeadershipRecord(3, FencingToken(3), leader, 0).encode())
        return StateCache(Port(), clock, timing, NoOpStateCacheListener).apply { tick() }
    }

    private fun named(): LeaseRenewalDelegates {
        val cache = cache()
        val leadership = cache.leadership ?: error("the view was read")
        return LeaseRenewalDelegates(leadership, settings, Port(), clock, timing, cache).apply { tick(clock.now) }
    }

    /** A word of the deputy: that it last heard the leader at [lastContactAt], and how much it has renewed. */
    private fun word(
        lastContactAt: Long,
        renewals: Long = 0,
    ) = PeerHeartbeat(
        delegate,
        3,
        leader,
        reachesState = true,
        sendTimeMs = 0,
        echo = HeartbeatEcho(leader, lastContactAt, renewals),
    )

    @Test
    fun `a lease is surely over once the deputy's word covers all of it`() {
        class Case(
            val name: String,
            val zone: Zone,
            val overAfterMs: Long?,
            val said: (sinceMs: Long, nowMs: Long) -> PeerHeartbeat?,
        )
        val expiry = timing.workerLeaseExpiryMs
        val cases =
            listOf(
                Case("no deputy there", Zone("a"), 0) { _, _ -> null },
                Case("it says nothing", zone, null) { _, _ -> null },
                Case("it renews nothing", zone, expiry) { _, now -> word(now - 5) },
                Case("it stands still", zone, null) { since, now -> word(now - since) },
                Case(
                    "it renewed until later",
                    zone,
                    expiry + 3_000,
                ) { since, now -> word(now - 5, minOf(since, 3_000)) },
                Case("an earlier life", zone, null) { _, now -> word(now - 5).copy(sender = Member("n1", "old")) },
                Case("of another leader", zone, null) { _, now ->
                    word(now - 5).copy(echo = HeartbeatEcho(delegate, now, 0))
                },
            )
        for (case in cases) {
            val delegates = named()
            val answeredAt = clock.now
            var overAt: Long? = null
            while (overAt == null && clock.now < answeredAt + expiry * 3) {
                case.said(clock.now - answeredAt, clock.now)?.let(delegates::onHeartbeat)
                if (delegates.isProvenExpired(case.zone, answeredAt)) overAt = clock.now - answeredAt
                clock.now += 100
            }
            assertEquals(case.overAfterMs?.let { (it + 99) / 100 * 100 }, overAt, case.name)
        }
    }

    @Test
    fun `one that is gone stays named until a later life of it is there`() {
        val cache = cache()
        val delegates = LeaseRenewalDelegates(cache.leadership ?: error("read"), settings, Port(), clock, timing, cache)
        delegates.tick(clock.now)
        assertEquals(delegate, DelegateAssignments.decode(store.entry(Keys.DELEGATES)?.value.orEmpty(), 1).byZone[zone])
        store.commit(Transaction(emptyList(), listOf(Change.Delete(Keys.member(delegate)))))
        put(Keys.member(Member("n1", "z")), emptyMap())
        repeat(2) {
            clock.now += 60_000
            cache.catchUp {}
            delegates.tick(clock.now)
        }
        val assigned = DelegateAssignments.decode(store.entry(Keys.DELEGATES)?.value.orEmpty(), 1)
        assertEquals(Member("n1", "z"), assigned.byZone[zone])
        assertFalse(delegates.isProvenExpired(zone, 0), "the former may have renewed something to its end")
    }

    @Test
    fun `a deputy renews only while it hears neither the leader nor the state service`() {
        put(Keys.DELEGATES, DelegateAssignments(FencingToken(3), mapOf(zone to delegate), 0).encode())
        val cache = cache()
        val here = LeaseRenewalDelegate(delegate, zone, Regions(), clock, timing, cache)
        val report = report(zone, 3)
        isAway = true
        here.onHeartbeat(PeerHeartbeat(leader, 3, leader, reachesState = true, sendTimeMs = 7))
        assertNull(here.renew(report), "just heard")
        clock.now += timing.delegateActivationMs
        assertEquals(FencingToken(3), here.renew(report))
        assertNull(here.renew(report(Zone("a"), 3)), "of another zone")
        assertNull(here.renew(report(zone, 4)), "it knows a newer token")
        assertEquals(HeartbeatEcho(leader, 7, 1), here.echo())
        here.onHeartbeat(PeerHeartbeat(leader, 3, leader, reachesState = true, sendTimeMs = 8))
        assertNull(here.renew(report), "the leader is heard again")
        clock.now += timing.delegateActivationMs
        isAway = false
        cache.catchUp {}
        assertNull(here.renew(report), "the state service answers")
    }

    private val regional = Regions(mapOf("south" to listOf(zone, Zone("c"), Zone("d"))))

    @Test
    fun `a deputy renews for the zones of its region that it is named for`() {
        val byZone = mapOf(zone to delegate, Zone("c") to delegate, Zone("d") to leader, Zone("e") to delegate)
        put(Keys.DELEGATES, DelegateAssignments(FencingToken(3), byZone, 0).encode())
        val here = LeaseRenewalDelegate(delegate, zone, regional, clock, timing, cache())
        isAway = true
        here.onHeartbeat(PeerHeartbeat(leader, 3, leader, reachesState = true, sendTimeMs = 7))
        clock.now += timing.delegateActivationMs
        assertEquals(FencingToken(3), here.renew(report(Zone("c"), 3)))
        assertNull(here.renew(report(Zone("d"), 3)), "another one is named")
        assertEquals(leader, here.delegateFor(report(Zone("d"), 3)), "and the worker is sent there")
        assertNull(here.renew(report(Zone("e"), 3)), "of no zone of its region, whatever the record says")
        assertNull(here.renew(report(Zone("c"), 4)), "it knows a newer token")
        assertEquals(1, here.echo()?.renewals)
    }

    @Test
    fun `a renewal in one zone takes the proof from every zone that the deputy is named for`() {
        val wider =
            settings.copy(
                zones = listOf(Zone("a"), zone, Zone("c")),
                policy = settings.policy.copy(regions = regional),
            )
        val cache = cache()
        val leadership = cache.leadership ?: error("the view was read")
        val delegates = LeaseRenewalDelegates(leadership, wider, Port(), clock, timing, cache).apply { tick(clock.now) }
        val assigned = DelegateAssignments.decode(store.entry(Keys.DELEGATES)?.value.orEmpty(), 1).byZone
        assertEquals(mapOf(zone to delegate, Zone("c") to delegate), assigned)
        val answeredAt = clock.now
        val renewedAt = answeredAt + 3_000
        val until = answeredAt + timing.workerLeaseExpiryMs + 200
        while (clock.now < until) {
            delegates.onHeartbeat(word(clock.now - 5, renewals = if (clock.now < renewedAt) 0 else 1))
            clock.now += 100
        }
        assertFalse(
            delegates.isProvenExpired(Zone("c"), answeredAt),
            "it renewed something, nobody knows in which zone",
        )
        while (clock.now < renewedAt + timing.workerLeaseExpiryMs + 200) {
            clock.now += 100
            delegates.onHeartbeat(word(clock.now - 5, renewals = 1))
        }
        assertEquals(true, delegates.isProvenExpired(Zone("c"), answeredAt), "nothing since")
    }

    private fun report(
        zone: Zone,
        token: Long,
    ) = WorkerHeartbeat(
        MachineId("host-1"),
        "127.0.0.1:9",
        TypeName("g8"),
        zone,
        false,
        1,
        1,
        FencingToken(token),
        null,
        emptyList(),
    )
}
