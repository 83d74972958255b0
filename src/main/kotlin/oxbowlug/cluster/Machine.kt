package oxbowlug.cluster

import oxbowlug.config.Address
import oxbowlug.fencing.DirectStarts
import oxbowlug.fencing.FencingTokenRange
import oxbowlug.fencing.IssuedToken
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

/** A rented machine as the leader holds it. Times are ms of the leader's steady clock. */
internal class Machine(
    val id: MachineId,
    val firstSeenAt: Long,
    /** The lowest fencing token of this leader. */
    firstToken: FencingToken = FencingToken(0),
) {
    var type: TypeName? = null
    var zone: Zone? = null
    var spot = false
    var endpoint: Address? = null

    /** The state in the newest of the cloud's lists that had the machine; null: none has had it. */
    var listed: MachineState? = null
    var listedAt = 0L
    var rentedAt = firstSeenAt

    /** The position of the worker's newest message, either a heartbeat or the answer to a direct command. */
    var position = HeartbeatPosition(0, 0)
    var lastHeartbeatPosition = HeartbeatPosition(0, 0)

    /** The fencing token in the worker's newest message: the highest that the worker had seen by then. */
    var token = FencingToken(0)

    val issuedToken = IssuedToken(firstToken)
    var tasks: Map<AttemptId, TaskStatus> = emptyMap()
    var lastContactAt: Long? = null

    val lease = WorkerLease()

    /** The lease of the worker's last incarnation expired, and no message of a later one has come since. */
    var isLeaseExpired = false

    /** When the cloud takes the machine back; null if it has given no notice. */
    var noticeUntil: Long? = null
    var idleSince: Long? = null
    var isReleasing = false
    var isQuarantined = false

    /** The machine's tasks are being moved to other machines, so that this one can be released. */
    var isDraining = false

    /** Until then nothing is placed here: the worker sends heartbeats, but answers and commands don't reach it. */
    var unresponsiveUntil = 0L

    /** Jobs with a task that exited with an error here, since a task was last done here. */
    val failedJobs = HashSet<String>()

    val attempts = LinkedHashMap<AttemptId, TaskAttempt>()

    /** Images that the machine is assumed to have, at most [MAX_IMAGES], the most recently used last. */
    val images = LinkedHashSet<ImageName>()

    /** When a new leader may send its fencing token to the worker once more. */
    var nextTokenAt = 0L

    var isDirectCommandInFlight = false
    var nextDirectCommandAt = 0L
    val directStarts = DirectStarts()

    /** Notes that a task with [image] runs here. */
    fun onImageUsed(image: ImageName) {
        images.remove(image)
        addImage(image)
    }

    /** Notes that the machine has [image], which may be known already. */
    fun addImage(image: ImageName) {
        images.add(image)
        if (images.size > MAX_IMAGES) images.remove(images.first())
    }

    /**
     * Whether the worker's newest message had a token of the current leader. The worker then refuses commands of
     * earlier leaders, so its heartbeats name every attempt that those have started.
     */
    fun hasAcknowledgedToken(currentTokens: FencingTokenRange): Boolean =
        lastContactAt != null && token in currentTokens && !isLeaseExpired

    /** Whether [attempt] may exist on this machine, or may still be started here by a command that was sent. */
    fun mayHold(
        attempt: TaskAttempt,
        currentTokens: FencingTokenRange,
    ): Boolean {
        if (directStarts.mayBePending(attempt.id)) return true
        if (attempt.isInherited && !hasAcknowledgedToken(currentTokens)) return true
        if (attempt.startSentInAnswerTo != null) return true
        val reported = tasks[attempt.id]
        return reported != null && reported.state != TaskState.EXITED
    }

    /** The free resources: those of [type] without what attempts here use, and [unmanagedUsage] by other tasks. */
    fun free(
        type: MachineType,
        unmanagedUsage: Resources,
    ): Resources {
        var free = type.resources() - unmanagedUsage
        for (attempt in attempts.values) free -= attempt.job.need
        return free
    }

    /** Images that the machine fetches for placed attempts: not usable yet, but not to be fetched a second time. */
    fun fetching(): Set<ImageName> {
        val result = HashSet<ImageName>()
        for (attempt in attempts.values) {
            val image = attempt.job.spec.image
            val hasItsImage = attempt.workerState != null && attempt.workerState != TaskState.FETCHING
            if (!hasItsImage && image !in images) result.add(image)
        }
        return result
    }

    companion object {
        /** More than a machine's cache holds; users choose how many images there are. */
        const val MAX_IMAGES = 128
    }
}
