package oxbowlug.cancellation

import org.slf4j.LoggerFactory
import oxbowlug.cache.CachedJob
import oxbowlug.cache.StateCache
import oxbowlug.config.Settings
import oxbowlug.membership.PeerHealth
import oxbowlug.port.CancellationAcknowledgement
import oxbowlug.port.Cancellation
import oxbowlug.port.CancellationListener
import oxbowlug.port.CancellationNotice
import oxbowlug.port.Clock
import oxbowlug.port.PeerPort
import oxbowlug.record.JobRecord
import oxbowlug.record.Member
import oxbowlug.record.Phase
import oxbowlug.timing.Timing
import oxbowlug.wire.JobId
import oxbowlug.wire.fields

/**
 * Tracks cancelled jobs whose attempts aren't proven terminated. The controller that renews the workers' leases may not
 * know of a committed cancellation: the state service may have refused that controller alone and then gone down for
 * all. So a controller that confirms a cancellation notifies its peers before it answers the user, and repeats the
 * notice until each peer has acknowledged it. A controller that learns of a cancellation forwards it to peers that may
 * have missed it. [CancellationEnforcer] terminates the attempts that no leader takes care of.
 */
internal class CancellationTracker(
    private val self: Member,
    private val settings: Settings,
    private val clock: Clock,
    private val timing: Timing,
    private val cache: StateCache,
    private val peerHealth: PeerHealth,
    private val peers: PeerPort,
    /** Whether this controller, as leader, has proven all attempts of a job terminated; null if it can't tell. */
    private val isTerminationProvenHere: (JobId) -> Boolean?,
) : CancellationListener {
    private val pendingById = LinkedHashMap<JobId, PendingCancellation>()
    private var nextNoticeAt = 0L

    /** Includes cancellations with proven termination until the state cache holds a record without placements. */
    val allPending: Collection<PendingCancellation> get() = pendingById.values

    /** Whether this controller confirmed a cancellation that the leader hasn't acknowledged yet. */
    fun hasUnacknowledgedCancellations(): Boolean {
        val leader = cache.leadership?.leader ?: return false
        return leader != self &&
            pendingById.values.any { it.isConfirmedHere && !it.isTerminationProven && leader !in it.acknowledged }
    }

    /** Notifies the peers before the user is answered, so that a crash right after the answer loses no cancellation. */
    override fun onCancellationCommitted(
        id: JobId,
        revision: Long,
        record: Map<String, Any?>,
    ) {
        track(Cancellation(id, revision, record), isConfirmedHere = true)
        cache.applyRecord(id, revision, record)
    }

    /** Handles a newer record in the state cache, whether it came from the state service or from a peer. */
    fun onRecordChanged(
        id: JobId,
        stored: CachedJob,
        value: Map<String, Any?>,
    ) {
        if (!stored.phase.isFinal) return
        if (stored.phase == Phase.CANCELLED && stored.placed > 0) {
            track(Cancellation(id, stored.version, value), isConfirmedHere = false)
        } else {
            pendingById.remove(id)
        }
    }

    private fun track(
        cancellation: Cancellation,
        isConfirmedHere: Boolean,
    ) {
        val existing = pendingById[cancellation.id]
        if (existing != null) {
            if (cancellation.version > existing.cancellation.version) existing.cancellation = cancellation
            // The watch may have delivered this controller's own write before the commit was answered.
            if (isConfirmedHere) confirmHere(existing)
            return
        }
        val record = JobRecord.decode(cancellation.value)
        if (record.placements.isEmpty()) return
        val now = clock.steadyMs()
        // The largest possible age: the wall clocks of two controllers differ by up to the configured skew.
        val ageMs = record.cancelledMs?.let { clock.wallMs() - it + settings.maxClockSkewMs.toLong() } ?: 0
        val pending =
            PendingCancellation(
                cancellation,
                isConfirmedHere,
                now,
                now - ageMs.coerceIn(0, timing.cancelDeadlineMs),
            )
        pendingById[cancellation.id] = pending
        if (isConfirmedHere) sendToAll(pending)
    }

    /** A user is about to be answered from a cached record, which confirms the cancellation just as well. */
    override fun onCancellationAnswered(id: JobId) {
        pendingById[id]?.let(::confirmHere)
    }

    private fun confirmHere(pending: PendingCancellation) {
        val leader = cache.leadership?.leader
        if (pending.isConfirmedHere || pending.isTerminationProven || leader in pending.acknowledged) return
        pending.isConfirmedHere = true
        sendToAll(pending)
    }

    private fun sendToAll(pending: PendingCancellation) {
        for (peer in settings.peers) peers.send(peer.label, CancellationNotice.Cancelled(self, pending.cancellation))
    }

    /** Sends the notices that are due, at most once in a peer heartbeat interval. */
    fun tick() {
        val now = clock.steadyMs()
        if (pendingById.isEmpty() || now < nextNoticeAt) return
        nextNoticeAt = now + timing.peerHeartbeatMs
        for (pending in pendingById.values) {
            if (isTerminationProvenHere(pending.cancellation.id) == true) pending.markTerminated(by = self)
            if (!pending.isTerminationProven) sendNotice(pending, now)
        }
    }

    private fun sendNotice(
        pending: PendingCancellation,
        now: Long,
    ) {
        for (peer in settings.peers) {
            val peerIncarnation = peerHealth.incarnationOf(peer.label)
            val hasAcknowledged = peerIncarnation != null && peerIncarnation in pending.acknowledged
            val isLeader = cache.leadership?.leader?.label == peer.label
            val due =
                when {
                    // Only a leader's acknowledgement that proves termination ends the enforcement by this controller.
                    hasAcknowledged -> isLeader && now - pending.observedAt > timing.enforceAfterMs
                    pending.isConfirmedHere -> true
                    // The watch informs every peer in time, except one that lost the state service or that was started
                    // since.
                    else -> now - pending.observedAt > timing.enforceAfterMs || peerHealth.isCutOffFromState(peer.label)
                }
            if (due) peers.send(peer.label, CancellationNotice.Cancelled(self, pending.cancellation))
        }
    }

    /** Handles a peer's notice. A cancellation is acknowledged unless the job's record contradicts it. */
    fun onNotice(notice: CancellationNotice) {
        when (notice) {
            is CancellationNotice.Cancelled -> onCancelled(notice)
            is CancellationNotice.Acknowledged -> for (item in notice.items) {
                val pending = pendingById[item.id] ?: continue
                pending.acknowledged.add(notice.sender)
                if (item.isTerminationProven &&
                    notice.sender == cache.leadership?.leader
                ) {
                    pending.markTerminated(by = notice.sender)
                }
            }
        }
    }

    private fun onCancelled(notice: CancellationNotice.Cancelled) {
        val cancellation = notice.cancellation
        val cachedJob = cache.job(cancellation.id)
        val isCancelled = JobRecord.phaseOf(cancellation.value.fields()) == Phase.CANCELLED
        if (!isCancelled || cachedJob?.phase == Phase.DONE) {
            log.error("cancellation notice rejected: job={} peer={}", cancellation.id, notice.sender.label)
            return
        }
        cache.applyRecord(cancellation.id, cancellation.version, cancellation.value)
        val isTerminationProven =
            cache.job(cancellation.id)?.placed == 0 || isTerminationProvenHere(cancellation.id) == true
        peers.send(
            notice.sender.label,
            CancellationNotice.Acknowledged(self, listOf(CancellationAcknowledgement(cancellation.id, isTerminationProven))),
        )
    }

    private companion object {
        val log = LoggerFactory.getLogger("cancellation")
    }
}
