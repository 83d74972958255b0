package oxbowlug.standin

import oxbowlug.port.RentalOutcome
import oxbowlug.wire.ListedMachine
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineState
import oxbowlug.wire.MachineType
import oxbowlug.wire.RentalRequest
import oxbowlug.wire.Zone

/** Simulates the cloud's published protocol: idempotent rentals by name, boot times, and a machine list that lags. */
internal class SimCloud(
    private val time: VirtualTime,
    val types: List<MachineType>,
    private val capacity: Int,
    private val listLagMs: Long,
    private val makeWorker: (MachineId, MachineType, Zone, Boolean) -> SimWorker,
) {
    private class RentedMachine(val worker: SimWorker, val rentedAt: Long) {
        var isRunning = false
        var failedAt: Long? = null
    }

    private val machines = sortedMapOf<String, RentedMachine>()
    private val rentalsByName = HashMap<String, List<MachineId>>()
    private val listHistory = ArrayDeque<Pair<Long, List<ListedMachine>>>()
    private var nextNumber = 0

    /** Whether there is an outage. The callers of this class must fail all calls during it. */
    var down = false

    /** Boot time of every machine rented from now on; null: that of its type. */
    var bootMs: Long? = null
    var rentalCalls = 0
        private set

    /** Machines that were asked for, whether they were rented or not; a repeated request counts again. */
    var machinesRequested = 0
        private set

    /** Machines that were returned while tasks ran on them. */
    var busyMachinesReturned = 0
        private set

    init {
        time.every(250) {
            listHistory.addLast(time.nowMs to currentList())
            while (listHistory.size > 2 && listHistory[1].first < time.nowMs - 2 * listLagMs) listHistory.removeFirst()
        }
    }

    /** Null after a change of the machines. */
    private var cachedWorkers: List<SimWorker>? = null
    private val workersByEndpoint = HashMap<String, SimWorker>()
    val workers: List<SimWorker> get() = cachedWorkers ?: machines.values.map { it.worker }.also { cachedWorkers = it }

    fun at(endpoint: String): SimWorker? = workersByEndpoint[endpoint]

    /** Rents machines. A repeated request of the same name gets the machines of the first one. */
    fun rent(request: RentalRequest): RentalOutcome {
        rentalCalls++
        machinesRequested += request.count
        rentalsByName[request.name]?.let { return RentalOutcome.Rented(it) }
        val type = types.first { it.name == request.type }
        val count = minOf(request.count, capacity - machines.size)
        if (count <= 0) return RentalOutcome.NoCapacity
        val ids = List(count) { MachineId("host-%06d".format(nextNumber++)) }
        for (id in ids) add(id, type, request.zone, request.spot, bootMs ?: (type.bootS * 1000).toLong())
        rentalsByName[request.name] = ids
        return RentalOutcome.Rented(ids)
    }

    /** Adds a machine that boots for [bootMs], also above the capacity; it counts against the capacity for rentals. */
    fun add(id: MachineId, type: MachineType, zone: Zone, spot: Boolean, bootMs: Long) {
        val rented = RentedMachine(makeWorker(id, type, zone, spot), time.nowMs)
        machines[id.value] = rented
        workersByEndpoint[rented.worker.endpoint] = rented.worker
        cachedWorkers = null
        time.after(bootMs) {
            if (machines[id.value] === rented) {
                rented.isRunning = true
                rented.worker.boot()
            }
        }
    }

    /** Numbers below [number] are in use in the ids of machines that were added; rentals begin at [number] or above. */
    fun skipIds(number: Int) {
        nextNumber = maxOf(nextNumber, number)
    }

    /** Ends the rentals of the machines. Their tasks end with them. */
    fun returnMachines(ids: List<MachineId>) {
        cachedWorkers = null
        for (id in ids) {
            val worker = machines.remove(id.value)?.worker ?: continue
            if (worker.runningTasks().isNotEmpty()) busyMachinesReturned++
            worker.alive = false
            workersByEndpoint.remove(worker.endpoint)
        }
    }

    /** Interrupts a spot machine without notice. It is missing from the list; nothing else shows that it is gone. */
    fun take(id: MachineId) = returnMachines(listOf(id))

    /** Crashes a machine. The list shows it as running for 30 s more, then as failed. */
    fun fail(id: MachineId) {
        val rented = machines[id.value] ?: return
        rented.worker.alive = false
        time.after(30_000) { rented.failedAt = time.nowMs }
    }

    private fun currentList(): List<ListedMachine> = machines.values.map { rented ->
        val worker = rented.worker
        val state = when {
            rented.failedAt != null -> MachineState.FAILED
            rented.isRunning -> MachineState.RUNNING
            else -> MachineState.BOOTING
        }
        ListedMachine(
            worker.id, worker.endpoint, worker.type.name, worker.zone, worker.spot, state,
            (time.nowMs - rented.rentedAt) / 1000.0,
        )
    }

    /** A past list of the machines, at least half the lag old and at most 250 ms less than twice the lag. */
    fun list(): List<ListedMachine> {
        val ageMs = time.between(listLagMs / 2, 2 * listLagMs - 250)
        return listHistory.lastOrNull { it.first <= time.nowMs - ageMs }?.second ?: emptyList()
    }
}
