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

/** The hollow workers and what is known of their jobs. */
internal class HollowFleet(
    private val options: ScaleOptions,
    private val topology: Topology,
    private val time: VirtualTime,
    private val plan: FleetPlan,
    private val connections: ReportConnections,
    /** Whether a stored record names the attempt. */
    isStored: (AttemptId) -> Boolean = { true },
) : SimJobs {
    private val cancelMs = (options.leaseS * ControllerFiles.CANCEL_LEASES * MS).toLong()
    val checker = InvariantChecker(time, plan.teams.associate { it.name to it.maxGpus }, cancelMs, isStored)
    private val leaseMs = (options.leaseS * MS).toLong()
    private val reportMs = (options.heartbeatS * MS).toLong()
    private val runMs = HashMap<String, Long>()

    /** Told of each report, and of the controllers that it could go to: copies of it may come late. */
    var onReportSent: (WorkerHeartbeat, List<HeartbeatTarget>) -> Unit = { _, _ -> }
    private val askedAt = HashMap<String, Long>()

    /** From a user's first attempt to submit until a task of the job runs, for urgent work. */
    var urgentStart = Durations()
    var starts = 0L
        private set

    /** A tenth more than there are at the start can be rented. */
    private val capacity = options.workers + options.workers / SPARE_PART + 1
    val cloud = SimCloud(time, plan.types, capacity, FleetPlan.LIST_LAG_MS, ::makeWorker)

    /** All machines are up at the start, and begin to report over one interval. */
    fun boot() {
        for (index in 0 until options.workers) {
            val id = MachineId("host-%06d".format(index))
            cloud.add(id, plan.typeOf(index), plan.zoneOf(index), spot = false, bootMs = time.between(0, reportMs))
        }
        cloud.skipIds(options.workers)
    }

    private fun makeWorker(id: MachineId, type: MachineType, zone: Zone, spot: Boolean): SimWorker {
        val number = WorkerAddresses.numberOf(id.value)
        val targets = connections.targets(number, zone, topology.controllers)
        return SimWorker(
            time, this, { targets }, id, type, zone, spot, leaseMs, HeartbeatPacing.Protocol(reportMs),
            onSent = { report -> onReportSent(report, targets) },
            endpoint = "${WorkerAddresses.host(number, 0)}:${topology.ports.workers}",
        )
    }

    fun expect(job: PlannedJob) {
        val id = job.spec.id.value
        runMs[id] = job.runMs
        askedAt[id] = time.nowMs
    }

    override fun spec(job: String): JobSpec? = checker.jobs[job]?.spec

    override fun runMs(job: String): Long = runMs.getValue(job)

    override fun onStarted(machine: SimWorker, attempt: AttemptId) {
        starts++
        checker.started(machine, attempt)
        val id = attempt.task.job.value
        if (attempt.number == FIRST_ATTEMPT && spec(id)?.priority == Priority.HIGH) {
            urgentStart.record(time.nowMs - askedAt.getValue(id))
        }
    }

    override fun onDone(attempt: AttemptId) = checker.done(attempt)

    fun tasksRunning(): Int = cloud.workers.sumOf { worker ->
        worker.tasks.values.count { it.state == TaskState.RUNNING }
    }

    fun tasksLostWithLeases(): Int = cloud.workers.sumOf { it.endedByLease }

    /** The longest that any worker has been without an answer that renewed its lease, in milliseconds. */
    fun longestWithoutRenewal(): Long = up().maxOfOrNull { time.nowMs - it.leaseStartedAt } ?: 0L

    fun allRenewedSince(moment: Long): Boolean = up().all { it.leaseStartedAt > moment }

    private fun up(): List<SimWorker> = cloud.workers.filter { it.isUp && it.alive }

    private companion object {
        const val MS = 1000.0
        const val FIRST_ATTEMPT = 1L
        const val SPARE_PART = 10
    }
}
