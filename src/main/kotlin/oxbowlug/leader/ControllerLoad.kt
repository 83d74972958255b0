package oxbowlug.leader

import org.slf4j.LoggerFactory
import oxbowlug.port.HeapUsage
import oxbowlug.port.Meters

/**
 * Measures the load of the controller's event loop, and logs it so that an overloaded controller can be recognized. A
 * step is one batch of events with everything that follows from it. A late tick shows how long other events wait, too.
 */
internal class ControllerLoad(
    private val meters: Meters,
    private val tickMs: Long,
    private val logIntervalMs: Long,
) {
    /** The measurements since [since], which the next log line reports. */
    private class Window(
        val since: Long,
    ) {
        var steps = 0
        var longestStepNs = 0L
        var stepsNs = 0L
        var plans = 0
        var longestPlanNs = 0L
        var plansNs = 0L
        var lastPlan = PlanSize.NONE
        var heartbeats = 0

        /** The longest delay of a tick. */
        var latestTickMs = 0L
    }

    private var window = Window(0)
    private var lastTickAt: Long? = null

    fun recordStep(nanos: Long) {
        meters.recordStep(nanos)
        window.steps++
        window.stepsNs += nanos
        window.longestStepNs = maxOf(window.longestStepNs, nanos)
    }

    fun recordPlan(
        nanos: Long,
        priced: Int,
        size: PlanSize,
    ) {
        meters.recordPlan(nanos, priced)
        window.lastPlan = size
        window.plans++
        window.plansNs += nanos
        window.longestPlanNs = maxOf(window.longestPlanNs, nanos)
    }

    fun heartbeatReceived() {
        window.heartbeats++
    }

    fun ticked(now: Long) {
        val delayMs = lastTickAt?.let { (now - it - tickMs).coerceAtLeast(0) } ?: 0
        lastTickAt = now
        meters.recordQueueDelay(delayMs)
        window.latestTickMs = maxOf(window.latestTickMs, delayMs)
        if (now - window.since < logIntervalMs) return
        log.info("{}", this)
        window = Window(now)
    }

    override fun toString(): String =
        "load: steps=${window.steps} stepsMs=${window.stepsNs / MS} longestStepMs=${window.longestStepNs / MS} " +
            "plans=${window.plans} plansMs=${window.plansNs / MS} longestPlanMs=${window.longestPlanNs / MS} " +
            "heartbeats=${window.heartbeats} latestTickMs=${window.latestTickMs} " +
            "heapUsedMb=${HeapUsage.usedMb} lastPlan: ${window.lastPlan}"

    private companion object {
        /** One millisecond in nanoseconds. */
        const val MS = 1_000_000
        val log = LoggerFactory.getLogger("leader")
    }
}
