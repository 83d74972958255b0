package oxbowlug.scale

import oxbowlug.standin.HeartbeatPacing
import oxbowlug.standin.HeartbeatTarget
import oxbowlug.standin.SimJobs
import oxbowlug.standin.InvariantChecker
import oxbowlug.standin.SimCloud
import oxbowlug.standin.SimWorker
import oxbowlug.standin.VirtualTime
import oxbowlug.wire.AttemptId
import oxbowlug.wire.JobSpec
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineType
import oxbowlug.wire.Priority
import oxbowlug.wire.TaskState
import oxbowlug.wire.WorkerHeartbeat
import oxbowlug.wire.Zone

/** The hollow workers, their jobs and the checks of the rules on them. */
internal class HollowFleet(
    private val options: ScaleOptions,
    private val topology: Topology,
    private val time: VirtualTime,
    private val plan: FleetPlan,
    private val connections: HeartbeatConnections,
    /** Returns whether a stored record names the attempt. */
    isStored: (AttemptId) -> Boolean = { true },
) : SimJobs {
    private val cancelMs = (options.leaseS * ControllerFiles.CANCEL_LEASES * MS_PER_S).toLong()
    val checker = InvariantChecker(time, plan.teams.associate { it.name to it.maxGpus }, cancelMs, isStored)
    private val leaseMs = (options.leaseS * MS_PER_S).toLong()
    private val heartbeatMs = (options.heartbeatS * MS_PER_S).toLong()
    private val runMs = HashMap<String, Long>()

    /** Called for each heartbeat sent, with the controllers that can receive it; fault injection can send it again. */
    var onHeartbeatSent: (WorkerHeartbeat, List<HeartbeatTarget>) -> Unit = { _, _ -> }

    /** Called after a worker executed direct commands, with what repeats them. */
    var onDirectCommandsExecuted: (repeat: () -> Unit) -> Unit = {}
    private val submittedAt = HashMap<String, Long>()

    /** For urgent jobs: from the user's first attempt to submit until the start of each first attempt of a task. */
    var urgentStart = Durations()
    var starts = 0L
        private set

    /** The cloud can rent a tenth more machines than there are at the start. */
    private val capacity = options.workers + options.workers / SPARE_DIVISOR + 1
    val cloud = SimCloud(time, plan.types, capacity, FleetPlan.LIST_LAG_MS, ::makeWorker)

    /** Boots the initial machines, spread over one heartbeat interval. */
    fun boot() {
        for (index in 0 until options.workers) {
            val id = MachineId("host-%06d".format(index))
            cloud.add(id, plan.typeOf(index), plan.zoneOf(index), spot = false, bootMs = time.between(0, heartbeatMs))
        }
        cloud.skipIds(options.workers)
    }

    private fun makeWorker(id: MachineId, type: MachineType, zone: Zone, spot: Boolean): SimWorker {
        val number = WorkerAddresses.numberOf(id.value)
        val targets = connections.targets(number, zone, topology.controllers)
        return SimWorker(
            time, this, { targets }, id, type, zone, spot, leaseMs, HeartbeatPacing.Protocol(heartbeatMs),
            onSent = { heartbeat -> onHeartbeatSent(heartbeat, targets) },
            endpoint = "${WorkerAddresses.host(number, 0)}:${topology.ports.workers}",
        ).also { worker -> worker.onDirectCommandsExecuted = { onDirectCommandsExecuted(it) } }
    }

    fun registerJob(job: PlannedJob) {
        val id = job.spec.id.value
        runMs[id] = job.runMs
        submittedAt[id] = time.nowMs
    }

    override fun spec(job: String): JobSpec? = checker.jobs[job]?.spec

    override fun runMs(job: String): Long = runMs.getValue(job)

    override fun onStarted(machine: SimWorker, attempt: AttemptId) {
        starts++
        checker.started(machine, attempt)
        val id = attempt.task.job.value
        if (attempt.number == FIRST_ATTEMPT && spec(id)?.priority == Priority.HIGH) {
            urgentStart.record(time.nowMs - submittedAt.getValue(id))
        }
    }

    override fun onDone(attempt: AttemptId) = checker.done(attempt)

    fun tasksRunning(): Int = cloud.workers.sumOf { worker ->
        worker.tasks.values.count { it.state == TaskState.RUNNING }
    }

    fun tasksLostWithLeases(): Int = cloud.workers.sumOf { it.endedByLease }

    /** The longest time for which any running worker has had no lease renewal, in milliseconds. */
    fun longestWithoutRenewal(): Long = runningWorkers().maxOfOrNull { time.nowMs - it.leaseStartedAt } ?: 0L

    fun allRenewedSince(moment: Long): Boolean = runningWorkers().all { it.leaseStartedAt > moment }

    private fun runningWorkers(): List<SimWorker> = cloud.workers.filter { it.isUp && it.alive }

    private companion object {
        const val MS_PER_S = 1000.0
        const val FIRST_ATTEMPT = 1L
        const val SPARE_DIVISOR = 10
    }
}
