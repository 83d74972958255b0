package oxbowlug.cluster

import oxbowlug.record.Phase
import oxbowlug.wire.AttemptId
import oxbowlug.wire.MachineId
import oxbowlug.wire.TaskId
import oxbowlug.wire.TaskState

/** Why an attempt of an active job is stopped: for a more urgent task, or because its machine is drained. */
internal enum class StopReason { PREEMPTED, DRAINED }

/** An attempt of a task, which exists or may exist on [machine]. It counts for every limit until it is proven gone. */
internal class TaskAttempt(
    val job: Job,
    val task: Int,
    val machine: MachineId,
    val number: Long,
) {
    val id = AttemptId(TaskId(job.id, task), number)

    /** Whether a stored record has the attempt. Only then may its start be sent. */
    var isCommitted = false

    /**
     * Whether the attempt was taken over from a stored record and its worker hasn't reported it yet. Until the worker
     * acknowledges the current token, a start that an earlier leader sent may still reach it.
     */
    var isInherited = false

    /** The state in the worker's newest report; null if that lacks the attempt, or if there was none. */
    var workerState: TaskState? = null
    var runningSince = 0L

    /** The heartbeat whose answer had the start; a newer one without the attempt shows that the start was lost. */
    var startSentInAnswerTo: HeartbeatPosition? = null
    private var startFirstSentAt: Long? = null
    var stopReason: StopReason? = null

    /** The machine on which its task is to continue, if it is stopped only to be moved. */
    var moveTarget: MachineId? = null

    /** Whether the attempt is to run. */
    val isWanted: Boolean get() = stopReason == null && job.phase == Phase.ACTIVE

    fun markStartSentInAnswer(
        position: HeartbeatPosition,
        now: Long,
    ) {
        startSentInAnswerTo = position
        markStartSent(now)
    }

    fun markStartSent(now: Long) {
        if (startFirstSentAt == null) startFirstSentAt = now
    }

    /** Whether a start was first sent more than [timeoutMs] ago. */
    fun isStartOverdue(
        now: Long,
        timeoutMs: Long,
    ): Boolean = startFirstSentAt?.let { now - it > timeoutMs } ?: false
}
