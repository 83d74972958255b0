package oxbowlug.config

import oxbowlug.wire.ClassName
import oxbowlug.wire.TeamName
import oxbowlug.wire.Zone

/** Thrown for a setting that is missing or invalid; the message names its field. */
class InvalidSettings(
    message: String,
) : Exception(message)

/** An IPv4 address and port. Host names are not resolved. */
data class Address(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"

    /** Parses addresses in settings and in messages. */
    companion object {
        /** Parses `HOST:PORT`. Returns null if [text] is not of this form. */
        fun parse(text: String): Address? {
            val colon = text.lastIndexOf(':')
            if (colon <= 0) return null
            val port = text.substring(colon + 1).toIntOrNull() ?: return null
            return if (port in 1..65535) Address(text.substring(0, colon), port) else null
        }
    }
}

/** Another controller of the deployment; [address] is where it listens for its peers. */
data class Peer(
    val label: String,
    val zone: Zone,
    val address: Address,
)

/** A team's guaranteed and maximum resources. A maximum of 0 in the settings means no limit and is infinite here. */
data class Team(
    val name: TeamName,
    val guaranteedCores: Double,
    val maxCores: Double,
    val guaranteedGpus: Double,
    val maxGpus: Double,
)

/** A service level objective of the platform. */
sealed interface Objective {
    /** At least [share] of the class's tasks start within [withinS] seconds. */
    data class Wait(
        val className: ClassName,
        val withinS: Double,
        val share: Double,
    ) : Objective

    /** At least [share] of the class's jobs end by their deadlines. */
    data class Deadline(
        val className: ClassName,
        val share: Double,
    ) : Objective

    /** At least [share] of the tasks within their team's guarantee start within [withinS] seconds. */
    data class Guarantee(
        val withinS: Double,
        val share: Double,
    ) : Objective
}

/**
 * The interval at which workers send heartbeats, the duration of their leases, and the time within which cancelled work
 * must end; in seconds.
 */
data class WorkerSettings(
    val heartbeatIntervalS: Double,
    val leaseS: Double,
    val cancelDeadlineS: Double,
)

/** The state service's limits: puts and deletes per second, a value's size in KB, and changes per transaction. */
data class WriteLimits(
    val writeRps: Double,
    val valueKb: Double,
    val txnOps: Int,
) {
    /** The limits that satisfy both this and [other]. */
    fun lowest(other: WriteLimits) =
        WriteLimits(
            minOf(writeRps, other.writeRps),
            minOf(valueKb, other.valueKb),
            minOf(txnOps, other.txnOps),
        )
}

/**
 * The state service's limits: [rps] requests per second, and the [present] write limits. [next] are write limits to
 * which the state service will switch at a time that is not announced.
 */
data class StateSettings(
    val rps: Double,
    val present: WriteLimits,
    val next: WriteLimits? = null,
) {
    val writeRps: Double get() = present.writeRps
    val valueKb: Double get() = present.valueKb
    val txnOps: Int get() = present.txnOps

    /** Write limits that hold both before and after the switch to [next]. */
    val lowest: WriteLimits get() = next?.lowest(present) ?: present
}

/** The cloud's limit of requests per second, and by how many seconds its list of machines may be out of date. */
data class CloudSettings(
    val rps: Double,
    val listLagS: Double,
)

/** The memory in MB and the number of open sockets that a controller may use. */
data class LimitSettings(
    val memoryMb: Double,
    val maxSockets: Int,
)

/**
 * The validated configuration of a controller: the platform's settings file, and the operators' [policy]. [label] and
 * [zone] are this controller's own, [zones] are all zones of the platform. The wall clocks of any two controllers
 * differ by at most [maxClockSkewMs].
 */
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
    /** The number of controllers in the deployment, including this one. */
    val controllerCount: Int get() = peers.size + 1
}
