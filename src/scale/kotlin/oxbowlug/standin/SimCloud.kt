package oxbowlug.standin

import oxbowlug.port.RentalOutcome
import oxbowlug.wire.ListedMachine
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineState
import oxbowlug.wire.MachineType
import oxbowlug.wire.RentalRequest
import oxbowlug.wire.Zone

/** The cloud by its published protocol: named rentals, boot times, a lagging list. */
internal class SimCloud(
    private val time: VirtualTime,
    val types: List<MachineType>,
    private val capacity: Int,
    private val lagMs: Long,
    private val makeWorker: (MachineId, MachineType, Zone, Boolean) -> SimWorker,
) {
    private class Rented(val worker: SimWorker, val rentedAt: Long) {
        var up = false
        var failedAt: Long? = null
    }

    private val machines = sortedMapOf<String, Rented>()
    private val answers = HashMap<String, List<MachineId>>()
    private val lists = ArrayDeque<Pair<Long, List<ListedMachine>>>()
    private var next = 0
    var down = false
    var bootMs: Long? = null
    var rentalCalls = 0
        private set

    /** Machines given back with tasks on them. */
    var busyMachinesReturned = 0
        private set

    init {
        time.every(250) {
            lists.addLast(time.nowMs to current())
            while (lists.size > 2 && lists[1].first < time.nowMs - 2 * lagMs) lists.removeFirst()
        }
    }

    private var listed: List<SimWorker>? = null
    private val byEndpoint = HashMap<String, SimWorker>()
    val workers: List<SimWorker> get() = listed ?: machines.values.map { it.worker }.also { listed = it }

    fun at(endpoint: String): SimWorker? = byEndpoint[endpoint]

    fun rent(request: RentalRequest): RentalOutcome {
        rentalCalls++
        answers[request.name]?.let { return RentalOutcome.Rented(it) }
        val type = types.first { it.name == request.type }
        val count = minOf(request.count, capacity - machines.size)
        if (count <= 0) return RentalOutcome.NoCapacity
        val ids = List(count) { MachineId("host-%06d".format(next++)) }
        for (id in ids) add(id, type, request.zone, request.spot, bootMs ?: (type.bootS * 1000).toLong())
        answers[request.name] = ids
        return RentalOutcome.Rented(ids)
    }

    fun add(id: MachineId, type: MachineType, zone: Zone, spot: Boolean, bootMs: Long) {
        val rented = Rented(makeWorker(id, type, zone, spot), time.nowMs)
        machines[id.value] = rented
        byEndpoint[rented.worker.endpoint] = rented.worker
        listed = null
        time.after(bootMs) {
            if (machines[id.value] === rented) {
                rented.up = true
                rented.worker.boot()
            }
        }
    }

    /** Names below this number are taken by machines that were added. */
    fun skipIds(number: Int) {
        next = maxOf(next, number)
    }

    fun returnMachines(ids: List<MachineId>) {
        listed = null
        for (id in ids) {
            val worker = machines.remove(id.value)?.worker ?: continue
            if (worker.runningTasks().isNotEmpty()) busyMachinesReturned++
            worker.alive = false
            byEndpoint.remove(worker.endpoint)
        }
    }

    /** A spot machine is taken: it is gone with no trace but its absence. */
    fun take(id: MachineId) = returnMachines(listOf(id))

    /** A machine dies: listed as running for a while, then as failed. */
    fun fail(id: MachineId) {
        val rented = machines[id.value] ?: return
        rented.worker.alive = false
        time.after(30_000) { rented.failedAt = time.nowMs }
    }

    private fun current(): List<ListedMachine> = machines.values.map { rented ->
        val worker = rented.worker
        val state = when {
            rented.failedAt != null -> MachineState.FAILED
            rented.up -> MachineState.RUNNING
            else -> MachineState.BOOTING
        }
        ListedMachine(
            worker.id, worker.endpoint, worker.type.name, worker.zone, worker.spot, state,
            (time.nowMs - rented.rentedAt) / 1000.0,
        )
    }

    fun list(): List<ListedMachine> {
        val age = time.between(lagMs / 2, 2 * lagMs - 250)
        return lists.lastOrNull { it.first <= time.nowMs - age }?.second ?: emptyList()
    }
}
