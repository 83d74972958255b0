package oxbowlug.cluster

import oxbowlug.config.Address
import oxbowlug.lease.WorkerLease
import oxbowlug.resource.Amounts
import oxbowlug.resource.amounts
import oxbowlug.wire.Attempt
import oxbowlug.wire.ImageName
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineState
import oxbowlug.wire.MachineType
import oxbowlug.wire.ReportedTask
import oxbowlug.wire.TaskState
import oxbowlug.wire.Token
import oxbowlug.wire.TypeName
import oxbowlug.wire.Zone

/** The leader's account of one rented machine. */
class Machine(val id: MachineId, val knownSince: Long) {
    var type: TypeName? = null
    var zone: Zone? = null
    var spot = false
    var endpoint: Address? = null
    var listed: MachineState? = null
    var listedAt = 0L
    var rentedAt = knownSince

    /** The newest account of the worker, from a report or a direct command's answer. */
    var stamp = Stamp(0, 0)
    var lastHello = Stamp(0, 0)
    var token = Token(0)
    var tasks: Map<Attempt, ReportedTask> = emptyMap()
    var heardAt: Long? = null

    val lease = WorkerLease()

    /** Its lease is over, and nothing was heard of it since. */
    var lost = false
    var noticeUntil: Long? = null
    var idleSince: Long? = null
    var returning = false
    var quarantined = false

    /** What was on it is being moved, so that it can be returned. */
    var emptying = false

    /** It reports, but doesn't do what it is told: our answers and commands don't reach it. */
    var deafUntil = 0L
    val failedJobs = HashSet<String>()

    val live = LinkedHashMap<Attempt, Live>()
    val images = LinkedHashSet<ImageName>()

    var directInFlight: List<Attempt> = emptyList()
    var directBusy = false
    var directNotBefore = 0L

    /** Starts sent directly and not answered: they may be executed minutes later. */
    val unresolved = HashSet<Attempt>()

    /** Heard under our token, so that its report tells everything that is on it. */
    fun isSettled(current: Token): Boolean = heardAt != null && token == current && !lost

    fun mayBeThere(placed: Live, current: Token): Boolean {
        if (placed.attempt in unresolved || placed.attempt in directInFlight) return true
        if (placed.inherited && !isSettled(current)) return true
        if (placed.answeredAt != null) return true
        val seen = tasks[placed.attempt]
        return seen != null && seen.state != TaskState.EXITED
    }

    /** Free room: everything that is placed or still reported takes its part. */
    fun free(type: MachineType, strangers: Amounts): Amounts {
        var free = type.amounts() - strangers
        for (placed in live.values) free -= placed.job.need
        return free
    }
}
