package oxbowlug.controller

import oxbowlug.port.Clock
import oxbowlug.port.CloudPort
import oxbowlug.timing.Timing
import oxbowlug.wire.MachineType
import oxbowlug.wire.TypeName

/** The cloud's machine types, which are fetched periodically. Used on the event loop's thread only. */
internal class MachineTypeCatalog(
    private val cloud: CloudPort,
    private val clock: Clock,
    private val timing: Timing,
    private val isLeading: () -> Boolean,
) {
    /** The result of the last successful fetch; empty before the first one. */
    var types: Map<TypeName, MachineType> = emptyMap()
        private set
    private var isFetching = false
    private var nextFetchAt = 0L

    /** Fetches the machine types if that is due at [now], in milliseconds of the steady clock. */
    fun tick(now: Long) {
        if (isFetching || now < nextFetchAt) return
        isFetching = true
        cloud.types(::onFetched)
    }

    private fun onFetched(fetched: List<MachineType>?) {
        isFetching = false
        val now = clock.steadyMs()
        if (fetched == null) {
            nextFetchAt = now + timing.retryMs() * FAILURE_PAUSE_FACTOR
        } else {
            types = fetched.associateBy { it.name }
            // Only the leader needs current spot prices.
            nextFetchAt = now + timing.machineTypesIntervalMs * if (isLeading()) 1 else FOLLOWER_INTERVAL_FACTOR
        }
    }

    private companion object {
        const val FAILURE_PAUSE_FACTOR = 2
        const val FOLLOWER_INTERVAL_FACTOR = 6
    }
}
