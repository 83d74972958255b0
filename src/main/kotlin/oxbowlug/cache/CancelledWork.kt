package oxbowlug.cache

import oxbowlug.record.Phase
import oxbowlug.wire.TaskState
import oxbowlug.wire.WorkerCommand
import oxbowlug.wire.WorkerHeartbeat

/** Stop commands for the running tasks of cancelled jobs in [heartbeat]; they hold whoever leads. */
internal fun StateCache.stopsForCancelledTasks(heartbeat: WorkerHeartbeat): List<WorkerCommand.Stop> =
    heartbeat.tasks
        .filter { it.state != TaskState.EXITED && job(it.attempt.task.job)?.phase == Phase.CANCELLED }
        .map { WorkerCommand.Stop(it.attempt, 0.0) }
