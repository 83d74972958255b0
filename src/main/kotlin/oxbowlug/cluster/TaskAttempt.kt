package oxbowlug.cluster

import oxbowlug.record.Phase
import oxbowlug.wire.AttemptId
import oxbowlug.wire.MachineId
import oxbowlug.wire.TaskId
import oxbowlug.wire.TaskState

/** Why a task that may still run is stopped: for a more urgent one, or to leave its machine. */
internal enum class StopReason { PREEMPTED, DRAINED }

/** One attempt that is, or may be, on a machine. It counts for every limit until it is proven gone. */
internal class TaskAttempt(
    val job: Job,
    val task: Int,
    val machine: MachineId,
    val number: Long,
) {
    val id = AttemptId(TaskId(job.id, task), number)

    /** Written to the state service: only then may it be started. */
    var isCommitted = false

    /** Placed by an earlier leader, whose start may still be on its way until the worker shows our token. */
    var isInherited = false

    /** The state in which the worker last reported it; null: its newest heartbeat lacks it, or there was none. */
    var workerState: TaskState? = null
    var runningSince = 0L

    /** A start went out in the answer to this heartbeat; a newer one that lacks the attempt shows it was dropped. */
    var startAnsweredAt: HeartbeatPosition? = null
    private var firstSentAt: Long? = null
    var stopReason: StopReason? = null

    /** Where it is to go on, if it was stopped only to be moved. */
    var moveTarget: MachineId? = null
    val isWanted: Boolean get() = stopReason == null && job.phase == Phase.ACTIVE

    fun markStartSentInAnswer(
        position: HeartbeatPosition,
        now: Long,
    ) {
        startAnsweredAt = position
        markStartSent(now)
    }

    fun markStartSent(now: Long) {
        if (firstSentAt == null) firstSentAt = now
    }

    /** A start was first sent more than [patienceMs] ago. */
    fun isOverdue(
        now: Long,
        patienceMs: Long,
    ): Boolean = firstSentAt?.let { now - it > patienceMs } ?: false
}
