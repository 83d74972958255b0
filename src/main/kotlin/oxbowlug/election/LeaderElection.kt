package oxbowlug.election

import org.slf4j.LoggerFactory
import oxbowlug.cache.StateCache
import oxbowlug.fencing.FencingTokenRange
import oxbowlug.port.Clock
import oxbowlug.port.CommitOutcome
import oxbowlug.port.LeaseRenewalOutcome
import oxbowlug.port.StatePort
import oxbowlug.record.DataFormat
import oxbowlug.record.Keys
import oxbowlug.record.LeadershipRecord
import oxbowlug.record.Member
import oxbowlug.record.WritableFormat
import oxbowlug.timing.Timing
import oxbowlug.wire.Change
import oxbowlug.wire.Condition
import oxbowlug.wire.Transaction

/**
 * Leader election through the state service. This controller holds a lease there, to which its member key is bound, and
 * campaigns when the leader's member key is gone. A campaign writes the leadership record in a transaction on condition
 * that the record's version is unchanged and that the former leader's member key doesn't exist.
 */
internal class LeaderElection(
    private val self: Member,
    private val state: StatePort,
    private val clock: Clock,
    private val timing: Timing,
    private val cache: StateCache,
    /** The limit of the state service on the changes in one transaction. */
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

    /** The newest epoch observed in messages of peers and workers, which may be ahead of the state cache. */
    private var highestEpoch = 0L

    /** The leader named by the newest such message that named one. */
    private var reportedLeader: Member? = null

    /** This controller's present role, computed at each call because the lease may have expired since the last one. */
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

    /** Milliseconds for which this controller's lease is still valid, 0 if it isn't. */
    fun leaseRemainingMs(): Long = if (isRegistered) (leaseValidUntilMs - clock.steadyMs()).coerceAtLeast(0) else 0

    private fun holdsLease(): Boolean = isRegistered && clock.steadyMs() < leaseValidUntilMs

    /**
     * Records that a peer's heartbeat or a worker's token shows [epoch]. [leader] is the leader in that epoch, or null
     * if the message doesn't name it.
     */
    fun observeEpoch(
        epoch: Long,
        leader: Member?,
    ) {
        val knownEpoch = maxOf(highestEpoch, cache.leadership?.epoch ?: 0)
        if (epoch < knownEpoch || (epoch == knownEpoch && leader == null)) return
        highestEpoch = epoch
        if (leader != null) reportedLeader = leader
    }

    /** Renews or requests the lease if that is due, and calls [registerOrCampaign]. */
    fun tick() {
        val now = clock.steadyMs()
        if (!isRenewing && now >= nextRenewalAt) renew(now)
        registerOrCampaign(now)
    }

    /**
     * Registers this incarnation by writing its member key, campaigns if the leader is missing, or does both in one
     * transaction. Does nothing while it holds no lease or hasn't read the members and the leadership record.
     */
    fun registerOrCampaign(now: Long) {
        val heldLease = lease ?: return
        val isWritable = cache.writableFormat != WritableFormat.NONE
        val mayCampaign = !isCampaigning && isWritable && now >= nextElectionAt && isLeaderMissing()
        when {
            isRegistered -> if (mayCampaign) campaign(now, registrationLease = null)
            // Registration waits for the leadership record: otherwise a campaign would need a second transaction.
            isRegistering || isCampaigning || !cache.isMembershipKnown || now < nextRegistrationAt -> Unit
            // Combined into one transaction to save a call: after a crash of all controllers, the workers' leases are
            // close to expiry.
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
            // The lease was released while this call was in flight.
            if (lease != heldLease) return@keepLeaseAlive
            when (outcome) {
                LeaseRenewalOutcome.RENEWED -> {
                    // The TTL counts from when the request was sent: the service may have renewed the lease right then.
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
                // The transaction was refused for its size, which says nothing about the lease: it is kept.
                CommitOutcome.Invalid -> nextRegistrationAt = clock.steadyMs() + timing.leadershipLeaseTtlMs
                is CommitOutcome.Conflict, CommitOutcome.Refused, CommitOutcome.Unanswered -> Unit
            }
        }
    }

    private fun registration(heldLease: Long) =
        Change.Put(memberKey, mapOf("label" to self.label) + DataFormat.encode(DataFormat.NEWEST), heldLease)

    /**
     * Tries to become leader by writing a leadership record with the next fencing tokens. If [registrationLease] isn't
     * null, the same transaction registers this incarnation under that lease; null means that it is already registered.
     */
    private fun campaign(
        now: Long,
        registrationLease: Long?,
    ) {
        val leadership = cache.leadership
        isCampaigning = true
        // The jittered delay keeps the other candidates from spending writes on the same key while one of them wins.
        nextElectionAt = now + timing.retryMs()
        val tokens = FencingTokenRange.after(maxOf(leadership?.epoch ?: 0L, highestEpoch))
        val newLeadership = LeadershipRecord(tokens.last.value, tokens.first, leader = self, version = 0)
        val conditions = ArrayList<Condition>()
        conditions.add(Condition(Keys.LEADERSHIP, leadership?.version ?: 0))
        if (leadership != null) conditions.add(Condition(Keys.member(leadership.leader), 0))
        val changes = ArrayList<Change>()
        if (registrationLease != null) changes.add(registration(registrationLease))
        changes.add(Change.Put(Keys.LEADERSHIP, newLeadership.encode()))
        state.commit(Transaction(conditions, changes)) { outcome ->
            isCampaigning = false
            if (outcome is CommitOutcome.Applied) {
                if (registrationLease != null && lease == registrationLease) isRegistered = true
                log.info("leader elected: epoch={}", newLeadership.epoch)
                cache.applyLeadershipRecord(newLeadership.copy(version = outcome.revision))
            } else {
                // The outcome may be unknown. If the transaction was applied after all, the watch delivers the
                // leadership record that names this controller.
                nextElectionAt = clock.steadyMs() + timing.retryMs()
                if (outcome == CommitOutcome.LeaseExpired && lease == registrationLease) lease = null
                // A candidate that lost the election still registers as a member.
                lease?.let { if (!isRegistered && !isRegistering) register(it) }
            }
        }
    }

    /**
     * Releases the lease, and leadership with it, so that a controller that workers can reach can be elected. For one
     * worker lease TTL, this controller neither requests a lease nor campaigns.
     */
    fun resign() {
        val heldLease = lease ?: return
        log.info("leadership resigned: lease={}", heldLease)
        lease = null
        isRegistered = false
        leaseValidUntilMs = NEVER_MS
        val pauseMs = timing.workerLeaseTtlMs
        nextRenewalAt = clock.steadyMs() + pauseMs
        nextElectionAt = clock.steadyMs() + pauseMs
        state.revokeLease(heldLease)
    }

    private companion object {
        /** Earlier than any reading of the steady clock; halved so that subtracting a reading can't overflow. */
        const val NEVER_MS = Long.MIN_VALUE / 2

        val log = LoggerFactory.getLogger("election")
    }
}
