package oxbowlug.cluster

import oxbowlug.config.Address
import oxbowlug.lease.WorkerLease
import oxbowlug.resource.Resources
import oxbowlug.resource.resources
import oxbowlug.wire.AttemptId
import oxbowlug.wire.FencingToken
import oxbowlug.wire.ImageName
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineState
import oxbowlug.wire.MachineType
import oxbowlug.wire.TaskState
import oxbowlug.wire.TaskStatus
import oxbowlug.wire.TypeName
import oxbowlug.wire.Zone

/** What the leader knows of one rented machine. */
internal class Machine(
    val id: MachineId,
    val firstSeenAt: Long,
) {
    var type: TypeName? = null
    var zone: Zone? = null
    var spot = false
    var endpoint: Address? = null
    var listed: MachineState? = null
    var listedAt = 0L
    var rentedAt = firstSeenAt

    /** The newest message of the worker: a heartbeat or the answer to a direct command. */
    var position = HeartbeatPosition(0, 0)
    var lastHeartbeatPosition = HeartbeatPosition(0, 0)
    var token = FencingToken(0)
    var tasks: Map<AttemptId, TaskStatus> = emptyMap()
    var lastContactAt: Long? = null

    val lease = WorkerLease()

    /** Its lease expired, and nothing was heard of it since. */
    var isLeaseExpired = false
    var noticeUntil: Long? = null
    var idleSince: Long? = null
    var isReleasing = false
    var isQuarantined = false

    /** What was on it is being moved, so that it can be released. */
    var isDraining = false

    /** Unresponsive until then: it sends heartbeats, but our answers and commands don't reach it. */
    var unresponsiveUntil = 0L
    val failedJobs = HashSet<String>()

    val attempts = LinkedHashMap<AttemptId, TaskAttempt>()
    val images = LinkedHashSet<ImageName>()

    var directStartsInFlight: List<AttemptId> = emptyList()
    var isDirectCommandInFlight = false
    var nextDirectCommandAt = 0L

    /** Starts sent directly and not answered: they may be executed minutes later. */
    val unresolvedStarts = HashSet<AttemptId>()

    /** It has shown our token, so that its heartbeats name everything that is on it. */
    fun hasAcknowledgedToken(current: FencingToken): Boolean = lastContactAt != null && token == current && !isLeaseExpired

    /** Whether [attempt] may be, or may yet appear, on this machine; [current] is the leader's token. */
    fun mayBeThere(
        attempt: TaskAttempt,
        current: FencingToken,
    ): Boolean {
        if (attempt.id in unresolvedStarts || attempt.id in directStartsInFlight) return true
        if (attempt.isInherited && !hasAcknowledgedToken(current)) return true
        if (attempt.startAnsweredAt != null) return true
        val reported = tasks[attempt.id]
        return reported != null && reported.state != TaskState.EXITED
    }

    /** Free room: everything that is placed or still reported takes its part. */
    fun free(
        type: MachineType,
        unmanagedUsage: Resources,
    ): Resources {
        var free = type.resources() - unmanagedUsage
        for (attempt in attempts.values) free -= attempt.job.need
        return free
    }

    /** Images that are on their way to it: not yet usable, but not to be fetched a second time either. */
    fun fetching(): Set<ImageName> {
        val result = HashSet<ImageName>()
        for (attempt in attempts.values) {
            val image = attempt.job.spec.image
            val hasItsImage = attempt.workerState != null && attempt.workerState != TaskState.FETCHING
            if (!hasItsImage && image !in images) result.add(image)
        }
        return result
    }
}
