package oxbowlug.controller

import oxbowlug.port.Clock
import oxbowlug.port.CloudPort
import oxbowlug.timing.Timing
import oxbowlug.wire.MachineType
import oxbowlug.wire.TypeName

/** The cloud's machine types, fetched again at intervals; used by the event loop alone. */
internal class MachineTypeCatalog(
    private val cloud: CloudPort,
    private val clock: Clock,
    private val timing: Timing,
    private val isLeading: () -> Boolean,
) {
    /** As they were fetched last; empty until the first answer. */
    var types: Map<TypeName, MachineType> = emptyMap()
        private set
    private var isFetching = false
    private var nextFetchAt = 0L

    /** Fetches them if that is due at [now], in milliseconds of the steady clock. */
    fun tick(now: Long) {
        if (isFetching || now < nextFetchAt) return
        isFetching = true
        cloud.types(::apply)
    }

    private fun apply(fetched: List<MachineType>?) {
        isFetching = false
        val now = clock.steadyMs()
        if (fetched == null) {
            nextFetchAt = now + timing.retryMs() * FAILED_RETRIES
        } else {
            types = fetched.associateBy { it.name }
            // Only the leader needs the present spot prices.
            nextFetchAt = now + timing.machineTypesIntervalMs * if (isLeading()) 1 else FOLLOWER_INTERVALS
        }
    }

    private companion object {
        const val FAILED_RETRIES = 2
        const val FOLLOWER_INTERVALS = 6
    }
}
