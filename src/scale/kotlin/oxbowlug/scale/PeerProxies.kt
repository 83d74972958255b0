package oxbowlug.scale

import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.net.NetSocket

/** Proxies the connections between controllers, with the network's latencies and partitions in both directions. */
internal class PeerProxies(private val vertx: Vertx, private val network: Network, private val traffic: Traffic) {
    private val client = vertx.createNetClient()

    fun start(topology: Topology): List<Future<*>> {
        val pairs = topology.controllers.flatMap { from ->
            topology.controllers.filter { it !== from }.map { to -> from to to }
        }
        return pairs.map { (from, to) ->
            vertx.createNetServer()
                .connectHandler { accepted -> connect(accepted, from, to) }
                .listen(topology.ports.peerProxy, to.proxyHost(from))
        }
    }

    private fun connect(accepted: NetSocket, from: ControllerIdentity, to: ControllerIdentity) {
        accepted.pause()
        client.connect(to.peerPort, to.peerHost)
            .onSuccess { opened ->
                forward(accepted, opened, from, to)
                forward(opened, accepted, to, from)
                accepted.resume()
            }
            .onFailure { accepted.close() }
    }

    private fun forward(source: NetSocket, sink: NetSocket, from: ControllerIdentity, to: ControllerIdentity) {
        source.handler { bytes ->
            traffic.peerBytes.count(bytes.length(), 0)
            network.deliver(Endpoint.Controller(from), Endpoint.Controller(to)) { sink.write(bytes) }
        }
        source.closeHandler { network.deliver(Endpoint.Controller(from), Endpoint.Controller(to)) { sink.close() } }
        source.exceptionHandler { }
    }
}
