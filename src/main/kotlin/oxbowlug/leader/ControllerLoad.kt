package oxbowlug.leader

import org.slf4j.LoggerFactory
import oxbowlug.port.Meters

/**
 * What the steps of the controller's thread cost, so that a controller that falls behind can be seen to: a step is one
 * batch of commands with all that follows from it, and a tick that comes late shows how long everything else waits too.
 */
internal class ControllerLoad(
    private val meters: Meters,
    private val tickMs: Long,
    private val everyMs: Long,
) {
    private class Window(
        val since: Long,
    ) {
        var steps = 0
        var longestStepNs = 0L
        var stepsNs = 0L
        var plans = 0
        var longestPlanNs = 0L
        var plansNs = 0L
        var heartbeats = 0
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
    ) {
        meters.recordPlan(nanos, priced)
        window.plans++
        window.plansNs += nanos
        window.longestPlanNs = maxOf(window.longestPlanNs, nanos)
    }

    fun heartbeatReceived() {
        window.heartbeats++
    }

    fun ticked(now: Long) {
        val late = lastTickAt?.let { (now - it - tickMs).coerceAtLeast(0) } ?: 0
        lastTickAt = now
        meters.recordQueueDelay(late)
        window.latestTickMs = maxOf(window.latestTickMs, late)
        if (now - window.since < everyMs) return
        log.info("{}", this)
        window = Window(now)
    }

    override fun toString(): String =
        "load: steps=${window.steps} stepsMs=${window.stepsNs / MS} longestStepMs=${window.longestStepNs / MS} " +
            "plans=${window.plans} plansMs=${window.plansNs / MS} longestPlanMs=${window.longestPlanNs / MS} " +
            "heartbeats=${window.heartbeats} latestTickMs=${window.latestTickMs}"

    private companion object {
        const val MS = 1_000_000
        val log = LoggerFactory.getLogger("leader")
    }
}
