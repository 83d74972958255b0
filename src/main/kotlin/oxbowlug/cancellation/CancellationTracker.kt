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
 * Cancelled jobs whose attempts aren't proven terminated. A cancellation that is committed may be unknown to the
 * controller that keeps the workers' leases alive: the state service refused that one alone, and is then down for all.
 * So whoever confirms one notifies the others before the user, until each has acknowledged it; whoever learns of one
 * passes it on to those that may have missed it; and what no leader takes over is ended by [CancellationEnforcer].
 */
internal class CancellationTracker(
    private val self: Member,
    private val settings: Settings,
    private val clock: Clock,
    private val timing: Timing,
    private val cache: StateCache,
    private val peerHealth: PeerHealth,
    private val peers: PeerPort,
    /** What the leader here, if there is one, knows of the job's attempts; null: not its affair, or not known. */
    private val isTerminationProvenHere: (JobId) -> Boolean?,
) : CancellationListener {
    private val pendingById = LinkedHashMap<JobId, PendingCancellation>()
    private var nextNoticeAt = 0L

    /** Those whose termination is proven too, until the state cache has their final record. */
    val allPending: Collection<PendingCancellation> get() = pendingById.values

    /** Whether the leader doesn't yet know of one that was confirmed here. */
    fun hasUnacknowledgedCancellations(): Boolean {
        val leader = cache.leadership?.leader ?: return false
        return leader != self &&
            pendingById.values.any { it.isConfirmedHere && !it.isTerminationProven && leader !in it.acknowledged }
    }

    /** Committed here, and about to be answered to its user: a crash of this process right after must not lose it. */
    override fun onCancellationCommitted(
        id: JobId,
        revision: Long,
        record: Map<String, Any?>,
    ) {
        track(Cancellation(id, revision, record), isConfirmedHere = true)
        cache.applyRecord(id, revision, record)
    }

    /** The state cache has a newer record of a job, from whatever source. */
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
        val present = pendingById[cancellation.id]
        if (present != null) {
            if (cancellation.version > present.cancellation.version) present.cancellation = cancellation
            // The watch may have brought our own write before its answer came.
            if (isConfirmedHere) confirmHere(present)
            return
        }
        val record = JobRecord.decode(cancellation.value)
        if (record.placements.isEmpty()) return
        val now = clock.steadyMs()
        val ageMs = record.cancelledMs?.let { clock.wallMs() - it + settings.skewMs.toLong() } ?: 0
        val pending = PendingCancellation(cancellation, isConfirmedHere, now, now - ageMs.coerceIn(0, timing.cancelDeadlineMs))
        pendingById[cancellation.id] = pending
        if (isConfirmedHere) sendToAll(pending)
    }

    /** A user is about to be answered that it is cancelled from what was read here, which confirms it just as well. */
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

    /** Sends the notices that are due. */
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
            val present = peerHealth.incarnationOf(peer.label)
            val knows = present != null && present in pending.acknowledged
            val isLeader = cache.leadership?.leader?.label == peer.label
            val due =
                when {
                    // The leader is asked again whether it has ended: only then need nobody else see to it.
                    knows -> isLeader && now - pending.observedAt > timing.enforceAfterMs
                    pending.isConfirmedHere -> true
                    // By the watch all learn of it in time; one that lost the state service, or was started since,
                    // doesn't.
                    else -> now - pending.observedAt > timing.enforceAfterMs || peerHealth.isCutOffFromState(peer.label)
                }
            if (due) peers.send(peer.label, CancellationNotice.Cancelled(self, pending.cancellation))
        }
    }

    /** A peer's notice; a cancellation is acknowledged to it, unless the record contradicts. */
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
        val present = cache.job(cancellation.id)
        val isFinal = JobRecord.phaseOf(cancellation.value.fields()) == Phase.CANCELLED
        if (!isFinal || present?.phase == Phase.DONE) {
            log.error("cancellation notice refused: job={} peer={}", cancellation.id, notice.sender.label)
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
