package oxbowlug.api

import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.FunctionTimer
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Meter
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import oxbowlug.controller.ControllerStatus
import oxbowlug.port.Invariant
import oxbowlug.port.Meters
import java.util.EnumMap
import java.util.concurrent.TimeUnit

/**
 * What one controller counts, and its text form. Recording is plain arithmetic; Micrometer's registry, which takes a
 * noticeable part of a start on a small machine, is only made when somebody reads the metrics for the first time.
 */
internal class ServiceMetrics(
    windowNanos: Long,
) : Meters {
    private val durations =
        listOf("plan", "commit", "step", "queue.delay")
            .associateWith { RecordedDurations(windowNanos) }
    private val plans = durations.getValue("plan")
    private val commits = durations.getValue("commit")
    private val steps = durations.getValue("step")
    private val delays = durations.getValue("queue.delay")
    private var pricedMachines = 0L
    private val refusals = HashMap<String, Refusals>()
    private val gauges = LinkedHashMap<String, () -> Number>()
    private val violations = EnumMap<Invariant, Long>(Invariant::class.java)
    private var registry: SimpleMeterRegistry? = null

    private class Refusals {
        var count = 0L
    }

    override fun recordPlan(
        nanos: Long,
        priced: Int,
    ) {
        plans.record(nanos)
        pricedMachines += priced
    }

    override fun recordStep(nanos: Long) = steps.record(nanos)

    override fun recordQueueDelay(millis: Long) = delays.record(TimeUnit.MILLISECONDS.toNanos(millis))

    override fun recordCommit(millis: Long) = commits.record(TimeUnit.MILLISECONDS.toNanos(millis))

    override fun recordRefusal(reason: String) {
        val counted = refusals.getOrPut(reason) { Refusals().also { added -> registry?.publish(reason, added) } }
        counted.count++
    }

    override fun recordViolation(invariant: Invariant) {
        violations.merge(invariant, 1L, Long::plus)
    }

    fun registerGauges(status: ControllerStatus) {
        gauges["queue.depth"] = { status.queueDepth }
        gauges["submissions.in.progress"] = { status.submissionsInProgress }
        gauges["submissions.limit"] = { status.submissionLimit }
        gauges["commit.backlog"] = { status.commitBacklog }
        gauges["tasks.waiting"] = { status.waitingTasks }
        gauges["machines"] = { status.machineCount }
        gauges["cancellations.open"] = { status.openCancellations }
        gauges["rate.writes.left"] = { status.writesLeft }
        gauges["rate.cloud.left"] = { status.cloudCallsLeft }
        gauges["epoch"] = { status.epoch }
        gauges["leading"] = { if (status.isLeading) 1 else 0 }
        gauges["token"] = { status.token }
        gauges["lease.left.ms"] = { status.leaseRemainingMs }
        gauges["cache.staleness.ms"] = { status.stalenessMs }
        gauges["cache.full.resyncs"] = { status.fullResyncs }
    }

    /** Every meter's present values, a line each. */
    fun text(): String {
        val opened = registry ?: open()
        return buildString {
            for (meter in opened.meters.sortedBy { it.id.name }) {
                for (measurement in meter.measure()) {
                    append(line(meter.id, measurement.statistic.tagValueRepresentation, measurement.value))
                }
            }
        }
    }

    private fun open(): SimpleMeterRegistry {
        val opened = SimpleMeterRegistry()
        for ((name, recorded) in durations) opened.publish(name, recorded)
        for ((name, value) in gauges) opened.publish(name, value)
        for ((reason, counted) in refusals) opened.publish(reason, counted)
        for (invariant in Invariant.entries) opened.publish(invariant)
        FunctionCounter.builder("$PREFIX.plan.priced", this) { it.pricedMachines.toDouble() }.register(opened)
        registry = opened
        return opened
    }

    private fun SimpleMeterRegistry.publish(
        name: String,
        recorded: RecordedDurations,
    ) {
        FunctionTimer
            .builder(
                "$PREFIX.$name",
                recorded,
                { it.count },
                { it.totalNanos.toDouble() },
                TimeUnit.NANOSECONDS,
            ).register(this)
        for (share in PERCENTILES) {
            Gauge
                .builder("$PREFIX.$name.percentile") { recorded.percentileSeconds(share) }
                .tag("phi", share.toString())
                .strongReference(true)
                .register(this)
        }
        Gauge.builder("$PREFIX.$name.max") { recorded.percentileSeconds(1.0) }.strongReference(true).register(this)
    }

    private fun SimpleMeterRegistry.publish(
        name: String,
        value: () -> Number,
    ) {
        Gauge.builder("$PREFIX.$name", value).strongReference(true).register(this)
    }

    private fun SimpleMeterRegistry.publish(
        reason: String,
        counted: Refusals,
    ) {
        FunctionCounter.builder("$PREFIX.refused", counted) { it.count.toDouble() }.tag("reason", reason).register(this)
    }

    private fun SimpleMeterRegistry.publish(invariant: Invariant) {
        FunctionCounter
            .builder("$PREFIX.invariant.violated", violations) { (it[invariant] ?: 0L).toDouble() }
            .tag("invariant", invariant.label)
            .register(this)
    }

    private fun line(
        id: Meter.Id,
        statistic: String,
        value: Double,
    ): String {
        val tags = id.tags.joinToString("") { ",${it.key}=\"${it.value.replace("\"", "'")}\"" }
        return "${id.name.replace('.', '_')}{statistic=\"$statistic\"$tags} $value\n"
    }

    private companion object {
        const val PREFIX = "oxbowlug"
        val PERCENTILES = listOf(0.5, 0.99)
    }
}
