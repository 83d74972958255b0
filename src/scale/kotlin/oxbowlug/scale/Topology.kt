package oxbowlug.scale

import oxbowlug.wire.Zone

/** One controller's index, zone and addresses. All addresses are in 127.0.0.0/8. */
internal class ControllerIdentity(val index: Int, val zone: Zone, private val firstPort: Int) {
    val label = "controller-$index"
    val clientHost = "127.10.$index.1"
    val clientPort = firstPort
    val peerHost = "127.10.$index.2"
    val peerPort = firstPort + 1

    /** Each controller has its own address of each service, by which the stand-ins identify the caller. */
    val stateHost = "127.10.$index.3"
    val cloudHost = "127.10.$index.4"

    /** The address of the proxy through which [from] connects to this controller's peer port; see [PeerProxies]. */
    fun proxyHost(from: ControllerIdentity) = "127.11.${from.index}.$index"
}

/** The zones, their regions, and the placement of the controllers. */
internal class Topology(options: ScaleOptions) {
    val ports = Ports(options.firstPort)
    val zones: List<Zone> = List(options.zones) { Zone("zone-$it") }
    private val regionOf: Map<Zone, Int> = zones.withIndex().associate { (index, zone) ->
        zone to index % options.regions
    }

    /** Spread over the regions, and within each region over its zones. */
    val controllers: List<ControllerIdentity> = List(options.controllers) { index ->
        ControllerIdentity(index, zones[index % zones.size], options.firstPort)
    }

    /** The state service, cloud, load balancer and users belong to no zone; they are in the first region. */
    fun region(zone: Zone?): Int = if (zone == null) HOME_REGION else regionOf.getValue(zone)

    class Ports(first: Int) {
        val state = first + 2
        val cloud = first + 3
        val peerProxy = first + 4
        val workers = first + 5
    }

    companion object {
        const val HOME_REGION = 0
    }
}

/** A worker's addresses: one for each controller, by which the worker's stand-in identifies the caller. */
internal object WorkerAddresses {
    private const val FIRST_OCTET = 64
    private const val BYTE = 256

    fun host(number: Int, controller: Int): String =
        "127.${FIRST_OCTET + controller}.${number / BYTE % BYTE}.${number % BYTE}"

    fun numberOf(machine: String): Int = machine.substringAfterLast('-').toInt()

    /** Index of the controller for which [host] is reserved; null if it isn't a worker's address. */
    fun controllerOf(host: String): Int? {
        val octets = host.split('.')
        val second = octets.getOrNull(1)?.toIntOrNull() ?: return null
        return (second - FIRST_OCTET).takeIf { octets[0] == "127" && it >= 0 }
    }

    /** The worker's endpoint as the cloud's stand-in stores it: the one reserved for the first controller. */
    fun canonical(host: String, port: Int): String {
        val octets = host.split('.')
        return "127.$FIRST_OCTET.${octets[2]}.${octets[3]}:$port"
    }
}
