package oxbowlug.api

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Meter
import io.micrometer.core.instrument.Timer
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import oxbowlug.core.Core
import oxbowlug.core.Meters
import java.util.concurrent.TimeUnit

/** Micrometer's meters of one controller, and their text form. */
class ServiceMetrics : Meters {
    private val registry = SimpleMeterRegistry()
    private val plans = Timer.builder("oxbowlug.plan").publishPercentiles(0.5, 0.99).register(registry)
    private val commits = Timer.builder("oxbowlug.commit").publishPercentiles(0.5, 0.99).register(registry)

    private val steps = Timer.builder("oxbowlug.step").publishPercentiles(0.5, 0.99).register(registry)
    private val waits = Timer.builder("oxbowlug.queue.delay").publishPercentiles(0.5, 0.99).register(registry)

    private val priced = Counter.builder("oxbowlug.plan.priced").register(registry)

    override fun planned(nanos: Long, priced: Int) {
        plans.record(nanos, TimeUnit.NANOSECONDS)
        this.priced.increment(priced.toDouble())
    }

    override fun stepped(nanos: Long) = steps.record(nanos, TimeUnit.NANOSECONDS)

    override fun waited(millis: Long) = waits.record(millis, TimeUnit.MILLISECONDS)

    override fun committed(millis: Long) = commits.record(millis, TimeUnit.MILLISECONDS)

    override fun refused(reason: String) =
        Counter.builder("oxbowlug.refused").tag("reason", reason).register(registry).increment()

    fun watch(core: Core) {
        gauge("oxbowlug.queue.depth") { core.queueDepth }
        gauge("oxbowlug.submissions.in.progress") { core.submissionsInProgress }
        gauge("oxbowlug.submissions.limit") { core.submissionLimit }
        gauge("oxbowlug.commit.backlog") { core.commitBacklog }
        gauge("oxbowlug.tasks.waiting") { core.waitingTasks }
        gauge("oxbowlug.machines") { core.machineCount }
        gauge("oxbowlug.cancellations.open") { core.openCancellations }
        gauge("oxbowlug.rate.writes.left") { core.writesLeft }
        gauge("oxbowlug.rate.cloud.left") { core.cloudCallsLeft }
        gauge("oxbowlug.epoch") { core.epoch }
        gauge("oxbowlug.leading") { if (core.isLeading) 1 else 0 }
    }

    private fun gauge(name: String, value: () -> Number) {
        Gauge.builder(name, value).strongReference(true).register(registry)
    }

    fun text(): String = buildString {
        for (meter in registry.meters.sortedBy { it.id.name }) {
            for (measurement in meter.measure()) {
                append(line(meter.id, measurement.statistic.tagValueRepresentation, measurement.value))
            }
        }
    }

    private fun line(id: Meter.Id, statistic: String, value: Double): String {
        val tags = id.tags.joinToString("") { ",${it.key}=\"${it.value.replace("\"", "'")}\"" }
        return "${id.name.replace('.', '_')}{statistic=\"$statistic\"$tags} $value\n"
    }
}
