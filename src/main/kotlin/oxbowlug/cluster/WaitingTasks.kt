package oxbowlug.cluster

/** At most [limit] tasks without an attempt, lowest numbers first, so that `done` stays one short range. */
internal fun Job.pendingTasks(limit: Int): IntArray {
    val result = IntArray(minOf(limit, remaining))
    var count = 0
    forEachPendingTask(result.size) { task -> result[count++] = task }
    return if (count == result.size) result else result.copyOf(count)
}

/** The number of tasks without an attempt, at most [limit]. */
internal fun Job.pendingTaskCount(limit: Int): Int {
    if (attempts.isEmpty()) return minOf(limit, remaining)
    var count = 0
    forEachPendingTask(limit) { count++ }
    return count
}

private inline fun Job.forEachPendingTask(
    limit: Int,
    action: (Int) -> Unit,
) {
    var left = limit
    var task = done.nextClearBit(0)
    while (task < spec.tasks && left > 0) {
        if (task !in attempts) {
            action(task)
            left--
        }
        task = done.nextClearBit(task + 1)
    }
}
