package oxbowlug.config

import oxbowlug.wire.ClassName
import oxbowlug.wire.TeamName
import oxbowlug.wire.Zone

/** A setting that can't be used; the message names its field. */
class InvalidSettings(
    message: String,
) : Exception(message)

/** An IPv4 address and port: names are never looked up. */
data class Address(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"

    /** Reads addresses from settings and from messages. */
    companion object {
        /** The address of `HOST:PORT`, or null if [text] is none. */
        fun parse(text: String): Address? {
            val colon = text.lastIndexOf(':')
            if (colon <= 0) return null
            val port = text.substring(colon + 1).toIntOrNull() ?: return null
            return if (port in 1..65535) Address(text.substring(0, colon), port) else null
        }
    }
}

/** Another controller of the deployment, with the address of its peer link. */
data class Peer(
    val label: String,
    val zone: Zone,
    val address: Address,
)

/** A team's guarantee and limit. An infinite limit stands for the setting's 0: no limit. */
data class Team(
    val name: TeamName,
    val guaranteedCores: Double,
    val maxCores: Double,
    val guaranteedGpus: Double,
    val maxGpus: Double,
)

/** What the platform expects of a class's starts and ends. */
sealed interface Objective {
    /** The [share] of a class's tasks that is to start within [withinS] seconds. */
    data class Wait(
        val className: ClassName,
        val withinS: Double,
        val share: Double,
    ) : Objective

    /** The [share] of a class's jobs that is to end by its deadline. */
    data class Deadline(
        val className: ClassName,
        val share: Double,
    ) : Objective

    /** The [share] of the work within its team's guarantee that is to start within [withinS] seconds. */
    data class Guarantee(
        val withinS: Double,
        val share: Double,
    ) : Objective
}

/**
 * How often workers send heartbeats, how long their leases last, and how soon cancelled work has to end; in seconds.
 */
data class WorkerSettings(
    val heartbeatIntervalS: Double,
    val leaseS: Double,
    val cancelDeadlineS: Double,
)

/** What the state service takes: puts and deletes a second, the size of a value, and changes in one transaction. */
data class WriteLimits(
    val writeRps: Double,
    val valueKb: Double,
    val txnOps: Int,
) {
    /** What is within both. */
    fun lowest(other: WriteLimits) =
        WriteLimits(
            minOf(writeRps, other.writeRps),
            minOf(valueKb, other.valueKb),
            minOf(txnOps, other.txnOps),
        )
}

/** [next] are limits that the state service will have from some moment on that nobody announces. */
data class StateSettings(
    val rps: Double,
    val present: WriteLimits,
    val next: WriteLimits? = null,
) {
    val writeRps: Double get() = present.writeRps
    val valueKb: Double get() = present.valueKb
    val txnOps: Int get() = present.txnOps

    /** Taken whether or not the limits have changed yet. */
    val lowest: WriteLimits get() = next?.lowest(present) ?: present
}

/** Requests per second that the cloud takes, and by how many seconds its list of machines may lag. */
data class CloudSettings(
    val rps: Double,
    val listLagS: Double,
)

/** Memory in MB and open sockets that a controller may use. */
data class LimitSettings(
    val memoryMb: Double,
    val maxSockets: Int,
)

/** Everything a controller is told at its start, checked. See the platform's settings file for each field. */
data class Settings(
    val label: String,
    val zone: Zone,
    val clientListen: Address,
    val peerListen: Address,
    val peers: List<Peer>,
    val cloudAddress: Address,
    val stateAddress: Address,
    val zones: List<Zone>,
    val maxClockSkewMs: Double,
    val teams: Map<TeamName, Team>,
    val objectives: List<Objective>,
    val workers: WorkerSettings,
    val state: StateSettings,
    val cloud: CloudSettings,
    val limits: LimitSettings,
    val policy: Policy,
) {
    val nodes: Int get() = peers.size + 1
}
