package oxbowlug.scaling

import org.slf4j.LoggerFactory
import oxbowlug.cluster.ClusterState
import oxbowlug.cluster.Machine
import oxbowlug.cluster.RemovalReason
import oxbowlug.config.Address
import oxbowlug.config.Settings
import oxbowlug.invariant.DecisionContext
import oxbowlug.plan.CapacityRefusal
import oxbowlug.plan.MachineKind
import oxbowlug.port.Clock
import oxbowlug.port.CloudPort
import oxbowlug.port.RentalOutcome
import oxbowlug.record.RequestIds
import oxbowlug.timing.Timing
import oxbowlug.timing.TokenBucket
import oxbowlug.wire.CloudCodec
import oxbowlug.wire.ListedMachine
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineState
import oxbowlug.wire.MachineType
import oxbowlug.wire.RentalRequest
import oxbowlug.wire.TypeName

/**
 * Scales the fleet out and in: lists the rented machines, rents what the planner decided, releases machines, and
 * records for which kinds the cloud has no capacity.
 */
internal class MachineScaler(
    private val requestIds: RequestIds,
    private val settings: Settings,
    private val cloud: CloudPort,
    private val clock: Clock,
    private val timing: Timing,
    private val budget: TokenBucket,
    private val cluster: ClusterState,
    private val decisions: DecisionContext,
) {
    val pendingRentals = ArrayList<PendingRental>()
    private val refusals = CapacityRefusals(timing)
    private val toRelease = LinkedHashSet<MachineId>()
    private var isListInFlight = false
    private var nextListAt = 0L
    private var isReleaseInFlight = false
    private var nextReleaseAt = 0L

    /** Machines asked of the cloud in this term; a repeated request counts again. */
    var requestedMachines = 0L
        private set

    /** Whether a list was applied in this term. Before that the present fleet isn't known, so nothing is rented. */
    var hasInventory = false
        private set

    fun tick(types: Map<TypeName, MachineType>) {
        val now = clock.steadyMs()
        if (!isListInFlight && now >= nextListAt && budget.tryTake(1.0, now)) list(now, types)
        sendDueReleases()
        sendDueRentals(pendingRentals.toList(), now)
    }

    /** Sends the next batch of releases if none is in flight and the retry pause of a failed one is over. */
    fun sendDueReleases() {
        val now = clock.steadyMs()
        val isDue = !isReleaseInFlight && toRelease.isNotEmpty() && now >= nextReleaseAt
        if (isDue && budget.tryTake(1.0, now)) releaseBatch()
    }

    /**
     * How many machines the next plan may rent: no more than the cloud can be asked for until the plan after it, less
     * those that are pending. Whatever users submit, pending rentals take bounded memory, and a machine that urgent
     * work needs is asked for soon.
     */
    fun remainingRentals(): Int {
        val requests = maxOf(1.0, settings.cloud.rps * timing.replanSoonMs / MS_PER_S)
        val pending = pendingRentals.sumOf { it.request.count }
        return ((requests * CloudCodec.MAX_RENTED).toInt() - pending).coerceAtLeast(0)
    }

    /** Rents [count] machines. A request is repeated under its request id until it is answered or too old. */
    fun rent(
        kind: MachineKind,
        count: Int,
    ) {
        val now = clock.steadyMs()
        val rentals = ArrayList<PendingRental>()
        var left = count
        while (left > 0) {
            val part = minOf(left, CloudCodec.MAX_RENTED)
            left -= part
            val request = RentalRequest(requestIds.next(), kind.type, kind.zone, kind.spot, part)
            rentals.add(PendingRental(request, firstRequestedAt = now, nextRequestAt = now))
        }
        pendingRentals.addAll(rentals)
        sendDueRentals(rentals, now)
    }

    private fun sendDueRentals(
        rentals: List<PendingRental>,
        now: Long,
    ) {
        for (rental in rentals) {
            // A refusal that came meanwhile has withdrawn the requests for the same kind.
            val isDue = rental in pendingRentals && !rental.isInFlight && now >= rental.nextRequestAt
            if (isDue && budget.tryTake(1.0, now)) requestRental(rental)
        }
    }

    private fun requestRental(rental: PendingRental) {
        rental.onSent()
        requestedMachines += rental.request.count
        val request = rental.request
        val kind = rental.kind
        cloud.rent(request) { outcome ->
            val now = clock.steadyMs()
            rental.onAnswered()
            when (outcome) {
                is RentalOutcome.Rented -> {
                    pendingRentals.remove(rental)
                    log.info(
                        "machines rented: machines={} requested={} kind={}",
                        outcome.machines.size,
                        request.count,
                        kind,
                    )
                    for (id in outcome.machines) {
                        val machine = cluster.machine(id) ?: continue
                        machine.type = request.type
                        machine.zone = request.zone
                        machine.spot = request.spot
                        machine.rentedAt = rental.firstRequestedAt
                    }
                    val isFulfilled = outcome.machines.size >= request.count
                    if (isFulfilled) refusals.onRented(kind) else onRefused(kind, now)
                }
                RentalOutcome.NoCapacity -> {
                    pendingRentals.remove(rental)
                    onRefused(kind, now)
                }
                // The retry has the same request id and so is idempotent: if the cloud executed the first request after
                // all, no more machines are rented.
                RentalOutcome.Refused, RentalOutcome.Unanswered -> {
                    rental.nextRequestAt = now + timing.retryMs() * 2
                    if (now > rental.firstRequestedAt + timing.orderTimeoutMs) pendingRentals.remove(rental)
                }
            }
            cluster.needsReplan = true
        }
    }

    /** The cloud has no more machines of [kind], so requests for it that were never sent are withdrawn. */
    private fun onRefused(
        kind: MachineKind,
        now: Long,
    ) {
        refusals.onRefused(kind, now)
        pendingRentals.removeAll { it.kind == kind && !it.wasSent }
    }

    /** See [CapacityRefusals.byKind]. */
    fun capacityRefusals(now: Long): Map<MachineKind, CapacityRefusal> = refusals.byKind(now)

    /** See [CapacityRefusals.isScarce]. */
    fun isScarce(
        machine: Machine,
        now: Long,
    ): Boolean = refusals.isScarce(machine, now)

    /** Releases [machine] with the next batch; nothing is placed on it from now on. A repeated call has no effect. */
    fun scheduleRelease(
        machine: Machine,
        reason: ReleaseReason,
    ) {
        if (machine.isReleasing) return
        machine.isReleasing = true
        log.info("release scheduled: machine={} reason={}", machine.id, reason)
        toRelease.add(machine.id)
    }

    private fun releaseBatch() {
        val batch = toRelease.take(CloudCodec.MAX_RELEASED)
        log.info("release requested: machines={} {}", batch, decisions.describe())
        isReleaseInFlight = true
        cloud.releaseMachines(batch) { ok ->
            isReleaseInFlight = false
            if (ok) {
                toRelease.removeAll(batch.toSet())
                for (id in batch) cluster.removeMachine(id, RemovalReason.RELEASED)
            } else {
                nextReleaseAt = clock.steadyMs() + timing.retryMs() * 2
            }
        }
    }

    private fun list(
        requestedAt: Long,
        types: Map<TypeName, MachineType>,
    ) {
        isListInFlight = true
        cloud.list { machines ->
            isListInFlight = false
            nextListAt = clock.steadyMs() + if (machines == null) timing.retryMs() * 2 else timing.machineListIntervalMs
            if (machines != null) {
                if (!hasInventory) cluster.needsReplan = true
                hasInventory = true
                applyList(machines, requestedAt, types)
            }
        }
    }

    private fun applyList(
        machines: List<ListedMachine>,
        requestedAt: Long,
        types: Map<TypeName, MachineType>,
    ) {
        val now = clock.steadyMs()
        val present = HashSet<MachineId>(machines.size * 2)
        for (listed in machines) {
            present.add(listed.id)
            val machine = cluster.machine(listed.id) ?: continue
            if (machine.listed == null) cluster.needsReplan = true
            machine.listed = listed.state
            machine.listedAt = now
            if (machine.type == null) {
                machine.type = listed.type
                machine.zone = listed.zone
                machine.spot = listed.spot
            }
            if (machine.endpoint == null) machine.endpoint = Address.parse(listed.endpoint)
            machine.rentedAt = minOf(machine.rentedAt, now - (listed.ageS * 1000).toLong())
            if (listed.state == MachineState.FAILED) {
                cluster.removeMachine(listed.id, RemovalReason.FAILED)
                toRelease.add(listed.id)
            } else {
                checkBoot(machine, now, types)
            }
        }
        for (machine in cluster.machines.values.toList()) {
            // The cloud's lists lag and may be older than the one before. Only a list that was requested long after the
            // machine was first seen proves that the machine is gone.
            if (machine.id !in present && machine.firstSeenAt < requestedAt - timing.machineListLagMs) {
                cluster.removeMachine(machine.id, RemovalReason.NOT_LISTED)
            }
        }
    }

    /** Releases a machine that boots for too long: some never come up, and the cloud charges for them until then. */
    private fun checkBoot(
        machine: Machine,
        now: Long,
        types: Map<TypeName, MachineType>,
    ) {
        val bootMs = (types[machine.type]?.bootS ?: return) * 1000.0
        if (machine.lastContactAt != null || machine.listed != MachineState.BOOTING) return
        if (now - machine.rentedAt > settings.policy.bootPatience * bootMs) {
            scheduleRelease(machine, ReleaseReason.NEVER_BOOTED)
        }
    }

    private companion object {
        const val MS_PER_S = 1000.0
        val log = LoggerFactory.getLogger("scaling")
    }
}
