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
import oxbowlug.port.LeaseRenewalOutcome
import oxbowlug.port.PeerHeartbeat
import oxbowlug.port.StatePort
import oxbowlug.record.DelegateAssignments
import oxbowlug.record.Keys
import oxbowlug.record.LeadershipRecord
import oxbowlug.record.Member
import oxbowlug.region.Regions
import oxbowlug.standin.SimStore
import oxbowlug.standin.VirtualTime
import oxbowlug.testing.ManualClock
import oxbowlug.testing.NoOpStateCacheListener
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

/** When a lease is proven expired although a delegate may have renewed it, and when a delegate may renew a lease. */
internal class LeaseRenewalDelegateTest {
    private val settings = SettingsFile.parse(SampleSettings.valid)
    private val timing = Timing(settings, Random(1))
    private val store = SimStore(VirtualTime(1))
    private val leader = Member("n0", "x")
    private val delegate = Member("n1", "y")
    private val zone = Zone("b")
    private var isStateUnreachable = false

    private val clock = ManualClock()

    /** Answers at once from the store. Watches stay open, and [isStateUnreachable] fails catch-up reads. */
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
            if (waitMs == 0L) done(if (isStateUnreachable) ChangesOutcome.Failed else store.changes(prefix, from))
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

    private fun assignedDelegates(): LeaseRenewalDelegates {
        val cache = cache()
        val leadership = cache.leadership ?: error("no leadership record was read")
        return LeaseRenewalDelegates(leadership, settings, Port(), clock, timing, cache).apply { tick(clock.now) }
    }

    /** A heartbeat of the delegate that echoes the leader's heartbeat of [lastContactAt] and counts its [renewals]. */
    private fun delegateHeartbeat(
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
    fun `a lease is proven expired once the delegate's idle period covers its whole TTL`() {
        class Case(
            val name: String,
            val zone: Zone,
            val expiresAfterMs: Long?,
            val heartbeat: (sinceMs: Long, nowMs: Long) -> PeerHeartbeat?,
        )
        val expiry = timing.workerLeaseExpiryMs
        val cases =
            listOf(
                Case("the zone has no delegate", Zone("a"), 0) { _, _ -> null },
                Case("the delegate is silent", zone, null) { _, _ -> null },
                Case("the delegate renews nothing", zone, expiry) { _, now -> delegateHeartbeat(now - 5) },
                Case("the delegate echoes the same heartbeat", zone, null) { since, now ->
                    delegateHeartbeat(now - since)
                },
                Case(
                    "the delegate renews leases for 3 s",
                    zone,
                    expiry + 3_000,
                ) { since, now -> delegateHeartbeat(now - 5, minOf(since, 3_000)) },
                Case("the sender is an earlier incarnation", zone, null) { _, now ->
                    delegateHeartbeat(now - 5).copy(sender = Member("n1", "old"))
                },
                Case("the echo is of another leader's heartbeat", zone, null) { _, now ->
                    delegateHeartbeat(now - 5).copy(echo = HeartbeatEcho(delegate, now, 0))
                },
            )
        for (case in cases) {
            val delegates = assignedDelegates()
            val renewedAt = clock.now
            var expiredAfterMs: Long? = null
            while (expiredAfterMs == null && clock.now < renewedAt + expiry * 3) {
                case.heartbeat(clock.now - renewedAt, clock.now)?.let(delegates::onHeartbeat)
                if (delegates.isProvenExpired(case.zone, renewedAt)) expiredAfterMs = clock.now - renewedAt
                clock.now += 100
            }
            assertEquals(case.expiresAfterMs?.let { (it + 99) / 100 * 100 }, expiredAfterMs, case.name)
        }
    }

    @Test
    fun `a delegate that is no longer a member stays assigned until its next incarnation registers`() {
        val cache = cache()
        val delegates =
            LeaseRenewalDelegates(
                cache.leadership ?: error("no leadership record was read"),
                settings,
                Port(),
                clock,
                timing,
                cache,
            )
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
        assertFalse(delegates.isProvenExpired(zone, 0), "the former delegate may have renewed the lease until it ended")
    }

    @Test
    fun `a delegate renews leases only while it reaches neither the leader nor the state service`() {
        put(Keys.DELEGATES, DelegateAssignments(FencingToken(3), mapOf(zone to delegate), 0).encode())
        val cache = cache()
        val renewalDelegate = LeaseRenewalDelegate(delegate, zone, Regions(), clock, timing, cache)
        val heartbeat = workerHeartbeat(zone, 3)
        isStateUnreachable = true
        renewalDelegate.onHeartbeat(PeerHeartbeat(leader, 3, leader, reachesState = true, sendTimeMs = 7))
        assertNull(renewalDelegate.renew(heartbeat), "the leader was reached just now")
        clock.now += timing.delegateActivationMs
        assertEquals(FencingToken(3), renewalDelegate.renew(heartbeat))
        assertNull(renewalDelegate.renew(workerHeartbeat(Zone("a"), 3)), "a worker of another zone")
        assertNull(renewalDelegate.renew(workerHeartbeat(zone, 4)), "the worker has seen a newer token")
        assertEquals(HeartbeatEcho(leader, 7, 1), renewalDelegate.echo())
        renewalDelegate.onHeartbeat(PeerHeartbeat(leader, 3, leader, reachesState = true, sendTimeMs = 8))
        assertNull(renewalDelegate.renew(heartbeat), "the leader is reached again")
        clock.now += timing.delegateActivationMs
        isStateUnreachable = false
        cache.catchUp {}
        assertNull(renewalDelegate.renew(heartbeat), "the state service is reached again")
    }

    @Test
    fun `a delegate renews a lease with the token that the worker has seen, if it is one of the leader's`() {
        put(Keys.DELEGATES, DelegateAssignments(FencingToken(3), mapOf(zone to delegate), 0).encode())
        val cache = cache()
        put(Keys.LEADERSHIP, LeadershipRecord(9, FencingToken(3), leader, 0).encode())
        cache.catchUp {}
        val renewalDelegate = LeaseRenewalDelegate(delegate, zone, Regions(), clock, timing, cache)
        isStateUnreachable = true
        renewalDelegate.onHeartbeat(PeerHeartbeat(leader, 9, leader, reachesState = true, sendTimeMs = 7))
        clock.now += timing.delegateActivationMs
        val renewedWith =
            listOf(2L, 3L, 5L, 9L, 10L).associateWith { renewalDelegate.renew(workerHeartbeat(zone, it))?.value }
        assertEquals(mapOf(2L to 3L, 3L to 3L, 5L to 5L, 9L to 9L, 10L to null), renewedWith)
    }

    private val southRegion = Regions(mapOf("south" to listOf(zone, Zone("c"), Zone("d"))))

    @Test
    fun `a delegate renews leases in the zones of its region that it is assigned to`() {
        val byZone = mapOf(zone to delegate, Zone("c") to delegate, Zone("d") to leader, Zone("e") to delegate)
        put(Keys.DELEGATES, DelegateAssignments(FencingToken(3), byZone, 0).encode())
        val renewalDelegate = LeaseRenewalDelegate(delegate, zone, southRegion, clock, timing, cache())
        isStateUnreachable = true
        renewalDelegate.onHeartbeat(PeerHeartbeat(leader, 3, leader, reachesState = true, sendTimeMs = 7))
        clock.now += timing.delegateActivationMs
        assertEquals(FencingToken(3), renewalDelegate.renew(workerHeartbeat(Zone("c"), 3)))
        assertNull(renewalDelegate.renew(workerHeartbeat(Zone("d"), 3)), "another delegate is assigned")
        assertEquals(leader, renewalDelegate.delegateFor(workerHeartbeat(Zone("d"), 3)), "the worker is redirected")
        assertNull(renewalDelegate.renew(workerHeartbeat(Zone("e"), 3)), "an assigned zone of another region")
        assertNull(renewalDelegate.renew(workerHeartbeat(Zone("c"), 4)), "the worker has seen a newer token")
        assertEquals(1, renewalDelegate.echo()?.renewals)
    }

    @Test
    fun `a renewal in one zone restarts the idle period in every zone of the delegate`() {
        val threeZoneSettings =
            settings.copy(
                zones = listOf(Zone("a"), zone, Zone("c")),
                policy = settings.policy.copy(regions = southRegion),
            )
        val cache = cache()
        val leadership = cache.leadership ?: error("no leadership record was read")
        val delegates =
            LeaseRenewalDelegates(leadership, threeZoneSettings, Port(), clock, timing, cache)
                .apply { tick(clock.now) }
        val assigned = DelegateAssignments.decode(store.entry(Keys.DELEGATES)?.value.orEmpty(), 1).byZone
        assertEquals(mapOf(zone to delegate, Zone("c") to delegate), assigned)
        val leaderRenewedAt = clock.now
        val delegateRenewedAt = leaderRenewedAt + 3_000
        val until = leaderRenewedAt + timing.workerLeaseExpiryMs + 200
        while (clock.now < until) {
            delegates.onHeartbeat(
                delegateHeartbeat(clock.now - 5, renewals = if (clock.now < delegateRenewedAt) 0 else 1),
            )
            clock.now += 100
        }
        assertFalse(
            delegates.isProvenExpired(Zone("c"), leaderRenewedAt),
            "the delegate renewed a lease, in which zone is unknown",
        )
        while (clock.now < delegateRenewedAt + timing.workerLeaseExpiryMs + 200) {
            clock.now += 100
            delegates.onHeartbeat(delegateHeartbeat(clock.now - 5, renewals = 1))
        }
        assertEquals(true, delegates.isProvenExpired(Zone("c"), leaderRenewedAt), "no renewal since then")
    }

    private fun workerHeartbeat(
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
