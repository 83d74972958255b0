package oxbowlug.soak

import oxbowlug.standin.SimWorker
import kotlin.random.Random

/** Draws up to [count] jobs with tasks on [workers]; maps each job's id to the machines that run its tasks. */
internal fun drawRunningJobs(workers: List<SimWorker>, count: Int, random: Random): Map<String, Set<SimWorker>> {
    val jobWorkers = LinkedHashMap<String, LinkedHashSet<SimWorker>>()
    for (worker in workers) {
        for (task in worker.runningTasks()) {
            jobWorkers.getOrPut(task.attempt.task.job.value, ::LinkedHashSet).add(worker)
        }
    }
    return jobWorkers.keys.shuffled(random).take(count).associateWith(jobWorkers::getValue)
}
