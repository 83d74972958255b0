package oxbowlug.election

import org.slf4j.LoggerFactory
import oxbowlug.cache.StateCache
import oxbowlug.port.Clock
import oxbowlug.port.CommitOutcome
import oxbowlug.port.StatePort
import oxbowlug.port.LeaseRenewalOutcome
import oxbowlug.record.DataFormat
import oxbowlug.record.Keys
import oxbowlug.record.LeadershipRecord
import oxbowlug.record.Member
import oxbowlug.record.WritableFormat
import oxbowlug.timing.Timing
import oxbowlug.wire.Change
import oxbowlug.wire.Condition
import oxbowlug.wire.FencingToken
import oxbowlug.wire.Transaction

/**
 * This controller's lease, its member key, and the election. The leadership record is changed by compare-and-swap only,
 * and only while the former leader's member key is gone, which the same transaction checks.
 */
internal class LeaderElection(
    private val self: Member,
    private val state: StatePort,
    private val clock: Clock,
    private val timing: Timing,
    private val cache: StateCache,
    private val changesPerTransaction: Int,
) {
    private val memberKey = Keys.member(self)
    private var lease: Long? = null
    private var isRegistered = false
    private var isRegistering = false
    private var isRenewing = false
    private var isCampaigning = false
    private var leaseValidUntilMs = NEVER_MS
    private var nextRenewalAt = 0L
    private var nextElectionAt = 0L
    private var nextRegistrationAt = 0L
    private var highestEpoch = 0L
    private var reportedLeader: Member? = null

    /** Computed anew at each call: the lease may have expired since the last one. */
    fun role(): LeadershipRole {
        val leadership =
            cache.leadership ?: return reportedLeader?.let { LeadershipRole.Follower(it) } ?: LeadershipRole.Unknown
        if (highestEpoch > leadership.epoch) {
            val leader = reportedLeader
            return if (leader == null || leader == self) LeadershipRole.Unknown else LeadershipRole.Follower(leader)
        }
        if (leadership.leader != self) return LeadershipRole.Follower(leadership.leader)
        return if (holdsLease()) LeadershipRole.Leader(leadership) else LeadershipRole.RenewalOnly(leadership)
    }

    /** Milliseconds for which this controller may still rely on its lease; 0: it may not. */
    fun leaseRemainingMs(): Long = if (isRegistered) (leaseValidUntilMs - clock.steadyMs()).coerceAtLeast(0) else 0

    private fun holdsLease(): Boolean = isRegistered && clock.steadyMs() < leaseValidUntilMs

    /** A peer's heartbeat or a worker's token shows that [epoch] was reached; [leader] may be unknown. */
    fun observeEpoch(
        epoch: Long,
        leader: Member?,
    ) {
        val knownEpoch = maxOf(highestEpoch, cache.leadership?.epoch ?: 0)
        if (epoch < knownEpoch || (epoch == knownEpoch && leader == null)) return
        highestEpoch = epoch
        if (leader != null) reportedLeader = leader
    }

    /** Renews the lease, and registers or campaigns, as far as each is due. */
    fun tick() {
        val now = clock.steadyMs()
        if (!isRenewing && now >= nextRenewalAt) renew(now)
        registerOrCampaign(now)
    }

    /**
     * Registers this incarnation, stands for election, or both in one transaction, as soon as what is needed is known.
     */
    fun registerOrCampaign(now: Long) {
        val heldLease = lease ?: return
        val isWritable = cache.writableFormat != WritableFormat.NONE
        val mayCampaign = !isCampaigning && isWritable && now >= nextElectionAt && isLeaderMissing()
        when {
            isRegistered -> if (mayCampaign) campaign(now, registrationLease = null)
            // Registered before the leadership record is known, this incarnation would have to stand in a transaction
            // of its own.
            isRegistering || isCampaigning || !cache.isMembershipKnown || now < nextRegistrationAt -> Unit
            // After a crash of all controllers the workers' leases have little time left: one call less counts.
            mayCampaign && changesPerTransaction > 1 -> campaign(now, registrationLease = heldLease)
            else -> register(heldLease)
        }
    }

    private fun isLeaderMissing(): Boolean {
        if (!cache.isMembershipKnown) return false
        val leader = cache.leadership?.leader ?: return true
        return leader != self && !cache.hasMember(Keys.member(leader))
    }

    private fun renew(now: Long) {
        isRenewing = true
        val heldLease = lease
        if (heldLease == null) requestLease(now) else renewLease(heldLease, now)
    }

    private fun requestLease(now: Long) {
        state.grantLease(timing.leadershipLeaseTtlMs) { granted ->
            isRenewing = false
            lease = granted
            isRegistered = false
            if (granted != null) {
                leaseValidUntilMs = now + timing.leadershipLeaseValidityMs
                nextRenewalAt = now + timing.leadershipRenewIntervalMs
                registerOrCampaign(clock.steadyMs())
            } else {
                nextRenewalAt = clock.steadyMs() + timing.retryMs()
            }
        }
    }

    private fun renewLease(
        heldLease: Long,
        now: Long,
    ) {
        state.keepLeaseAlive(heldLease) { outcome ->
            isRenewing = false
            // Released meanwhile: the answer is of a lease that isn't held any more.
            if (lease != heldLease) return@keepLeaseAlive
            when (outcome) {
                LeaseRenewalOutcome.RENEWED -> {
                    // Counted from when the renewal was sent: the service may have done it at once.
                    leaseValidUntilMs = maxOf(leaseValidUntilMs, now + timing.leadershipLeaseValidityMs)
                    cache.recordContact(now)
                    nextRenewalAt = now + timing.leadershipRenewIntervalMs
                }
                LeaseRenewalOutcome.EXPIRED -> {
                    log.info("controller lease expired: lease={}", heldLease)
                    lease = null
                    isRegistered = false
                    leaseValidUntilMs = NEVER_MS
                    nextRenewalAt = clock.steadyMs()
                }
                LeaseRenewalOutcome.FAILED -> nextRenewalAt = clock.steadyMs() + timing.retryMs()
            }
        }
    }

    private fun register(heldLease: Long) {
        isRegistering = true
        state.commit(Transaction(emptyList(), listOf(registration(heldLease)))) { outcome ->
            isRegistering = false
            when (outcome) {
                is CommitOutcome.Applied ->
                    if (lease == heldLease) {
                        isRegistered = true
                        registerOrCampaign(clock.steadyMs())
                    }
                CommitOutcome.LeaseExpired -> if (lease == heldLease) lease = null
                // Refused for its size, it says nothing of the lease.
                CommitOutcome.Invalid -> nextRegistrationAt = clock.steadyMs() + timing.leadershipLeaseTtlMs
                is CommitOutcome.Conflict, CommitOutcome.Refused, CommitOutcome.Unanswered -> Unit
            }
        }
    }

    private fun registration(heldLease: Long) =
        Change.Put(memberKey, mapOf("label" to self.label) + DataFormat.encode(DataFormat.NEWEST), heldLease)

    /**
     * [registrationLease] is the lease under which the same transaction registers this incarnation; null if it is
     * registered already.
     */
    private fun campaign(
        now: Long,
        registrationLease: Long?,
    ) {
        val leadership = cache.leadership
        isCampaigning = true
        // The jitter lets one candidate win without the others' writes being spent on the same key.
        nextElectionAt = now + timing.retryMs()
        val epoch = maxOf(leadership?.epoch ?: 0L, highestEpoch) + 1
        val next = LeadershipRecord(epoch, FencingToken(epoch), leader = self, version = 0)
        val conditions = ArrayList<Condition>()
        conditions.add(Condition(Keys.LEADERSHIP, leadership?.version ?: 0))
        if (leadership != null) conditions.add(Condition(Keys.member(leadership.leader), 0))
        val changes = ArrayList<Change>()
        if (registrationLease != null) changes.add(registration(registrationLease))
        changes.add(Change.Put(Keys.LEADERSHIP, next.encode()))
        state.commit(Transaction(conditions, changes)) { outcome ->
            isCampaigning = false
            if (outcome is CommitOutcome.Applied) {
                if (registrationLease != null && lease == registrationLease) isRegistered = true
                log.info("leader elected: epoch={}", next.epoch)
                cache.applyLeadershipRecord(next.copy(version = outcome.revision))
            } else {
                // Won or lost unseen: the watch reports it, and a leadership record that names us is adopted from
                // there.
                nextElectionAt = clock.steadyMs() + timing.retryMs()
                if (outcome == CommitOutcome.LeaseExpired && lease == registrationLease) lease = null
                // Whoever lost is a member all the same.
                lease?.let { if (!isRegistered && !isRegistering) register(it) }
            }
        }
    }

    /** Releases the lease and with it leadership, so that a controller with better connections can be elected. */
    fun resign() {
        val heldLease = lease ?: return
        log.info("leadership resigned: lease={}", heldLease)
        lease = null
        isRegistered = false
        leaseValidUntilMs = NEVER_MS
        val pause = timing.workerLeaseTtlMs
        nextRenewalAt = clock.steadyMs() + pause
        nextElectionAt = clock.steadyMs() + pause
        state.revokeLease(heldLease)
    }

    private companion object {
        /** Before every reading of the steady clock; halved so that a difference to it cannot overflow. */
        const val NEVER_MS = Long.MIN_VALUE / 2

        val log = LoggerFactory.getLogger("election")
    }
}
