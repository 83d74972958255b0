package oxbowlug.soak

import oxbowlug.standin.SimWorker
import kotlin.random.Random

/** Draws up to [count] jobs that run on [workers], each with the machines that hold it. */
internal fun drawRunningJobs(workers: List<SimWorker>, count: Int, random: Random): Map<String, Set<SimWorker>> {
    val holders = LinkedHashMap<String, LinkedHashSet<SimWorker>>()
    for (worker in workers) {
        for (task in worker.runningTasks()) holders.getOrPut(task.attempt.task.job.value, ::LinkedHashSet).add(worker)
    }
    return holders.keys.shuffled(random).take(count).associateWith(holders::getValue)
}
