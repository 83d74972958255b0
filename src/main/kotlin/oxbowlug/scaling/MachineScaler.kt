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
 * Scales the fleet out and in: lists machines, rents what was planned, releases machines, and knows for which kinds the
 * cloud has no capacity.
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
    private var isListing = false
    private var nextListAt = 0L
    private var isReleaseInFlight = false
    private var nextReleaseAt = 0L

    /** A list was applied in this term. Nothing is rented before, since what is there isn't known. */
    var hasInventory = false
        private set

    fun tick(types: Map<TypeName, MachineType>) {
        val now = clock.steadyMs()
        if (!isListing && now >= nextListAt && budget.tryTake(1.0, now)) list(now, types)
        sendDueReleases()
        for (order in pendingRentals.toList()) {
            if (!order.isRequestInFlight && now >= order.nextRequestAt && budget.tryTake(1.0, now)) requestRental(order)
        }
    }

    /** Sends the next batch of releases if none is in flight. */
    fun sendDueReleases() {
        val now = clock.steadyMs()
        val isDue = !isReleaseInFlight && toRelease.isNotEmpty() && now >= nextReleaseAt
        if (isDue && budget.tryTake(1.0, now)) releaseBatch()
    }

    /** Orders machines. An order is repeated under its request id until it is answered or too old. */
    fun rent(
        kind: MachineKind,
        count: Int,
    ) {
        val now = clock.steadyMs()
        var left = count
        while (left > 0) {
            val part = minOf(left, CloudCodec.MAX_RENTED)
            left -= part
            val order =
                PendingRental(RentalRequest(requestIds.next(), kind.type, kind.zone, kind.spot, part), now, false, now)
            pendingRentals.add(order)
            if (budget.tryTake(1.0, now)) requestRental(order)
        }
    }

    private fun requestRental(order: PendingRental) {
        order.isRequestInFlight = true
        val request = order.request
        val kind = MachineKind(request.type, request.zone, request.spot)
        cloud.rent(request) { outcome ->
            val now = clock.steadyMs()
            order.isRequestInFlight = false
            when (outcome) {
                is RentalOutcome.Rented -> {
                    pendingRentals.remove(order)
                    log.info("rented: machines={} requested={} kind={}", outcome.machines.size, request.count, kind)
                    for (id in outcome.machines) {
                        val machine = cluster.machine(id) ?: continue
                        machine.type = request.type
                        machine.zone = request.zone
                        machine.spot = request.spot
                        machine.rentedAt = order.firstRequestedAt
                    }
                    val isWhole = outcome.machines.size >= request.count
                    if (isWhole) refusals.onRented(kind) else refusals.onRefused(kind, now)
                }
                RentalOutcome.NoCapacity -> {
                    pendingRentals.remove(order)
                    refusals.onRefused(kind, now)
                }
                // The same request id again, so it is idempotent: if the first request was executed after all, nothing
                // more is rented.
                RentalOutcome.Refused, RentalOutcome.Unanswered -> {
                    order.nextRequestAt = now + timing.retryMs() * 2
                    if (now > order.firstRequestedAt + timing.orderTimeoutMs) pendingRentals.remove(order)
                }
            }
            cluster.needsReplan = true
        }
    }

    /** See [CapacityRefusals.prices]. */
    fun capacityRefusals(now: Long): Map<MachineKind, CapacityRefusal> = refusals.prices(now)

    /** See [CapacityRefusals.isScarce]. */
    fun isScarce(
        machine: Machine,
        now: Long,
    ): Boolean = refusals.isScarce(machine, now)

    /** Releases [machine] with the next batch; until then nothing is placed on it. Repeated, it has no effect. */
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
        askedAt: Long,
        types: Map<TypeName, MachineType>,
    ) {
        isListing = true
        cloud.list { machines ->
            isListing = false
            nextListAt = clock.steadyMs() + if (machines == null) timing.retryMs() * 2 else timing.machineListIntervalMs
            if (machines != null) {
                if (!hasInventory) cluster.needsReplan = true
                hasInventory = true
                applyList(machines, askedAt, types)
            }
        }
    }

    private fun applyList(
        machines: List<ListedMachine>,
        askedAt: Long,
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
            // Lists lag and can go backwards: only one asked for long after the machine was known proves its absence.
            if (machine.id !in present && machine.firstSeenAt < askedAt - timing.machineListLagMs) {
                cluster.removeMachine(machine.id, RemovalReason.NOT_LISTED)
            }
        }
    }

    /** Some machines never come up and are charged until they are released. */
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
        val log = LoggerFactory.getLogger("scaling")
    }
}
