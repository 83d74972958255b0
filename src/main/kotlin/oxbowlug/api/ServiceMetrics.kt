package oxbowlug.api

import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.FunctionTimer
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Meter
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import oxbowlug.controller.ControllerStatus
import oxbowlug.port.HeapUsage
import oxbowlug.port.Invariant
import oxbowlug.port.Meters
import java.util.EnumMap
import java.util.concurrent.TimeUnit

/**
 * The metrics of one controller, and their text format. Recording only updates plain fields: Micrometer's registry is
 * created at the first request for the metrics, since creating it takes a noticeable part of the process's startup time
 * on a small machine.
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
    private val queueDelays = durations.getValue("queue.delay")
    private var pricedMachines = 0L
    private val refusalsByReason = HashMap<String, RefusalCounter>()
    private val gauges = LinkedHashMap<String, () -> Number>()
    private val violations = EnumMap<Invariant, Long>(Invariant::class.java)
    private var registry: SimpleMeterRegistry? = null

    private class RefusalCounter {
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

    override fun recordQueueDelay(millis: Long) = queueDelays.record(TimeUnit.MILLISECONDS.toNanos(millis))

    override fun recordCommit(millis: Long) = commits.record(TimeUnit.MILLISECONDS.toNanos(millis))

    override fun recordRefusal(reason: String) {
        val counter =
            refusalsByReason.getOrPut(reason) { RefusalCounter().also { added -> registry?.publish(reason, added) } }
        counter.count++
    }

    override fun recordViolation(invariant: Invariant) {
        violations.merge(invariant, 1L, Long::plus)
    }

    /** Adds the gauges that read [status]; called before the metrics are first read. */
    fun registerGauges(status: ControllerStatus) {
        gauges["queue.depth"] = { status.queueDepth }
        gauges["submissions.in.progress"] = { status.submissionsInProgress }
        gauges["submissions.limit"] = { status.submissionLimit }
        gauges["commit.backlog"] = { status.commitBacklog }
        gauges["tasks.waiting"] = { status.waitingTasks }
        gauges["machines"] = { status.machineCount }
        gauges["plan.jobs"] = { status.lastPlanSize.jobs }
        gauges["plan.machines"] = { status.lastPlanSize.machines }
        gauges["forecast.expected.tasks"] = { status.lastPlanSize.expectedTasks }
        gauges["forecast.reserved.tasks"] = { status.lastPlanSize.reservedTasks }
        gauges["rentals.pending.requests"] = { status.pendingRentalRequests }
        gauges["rentals.pending.machines"] = { status.pendingRentalMachines }
        gauges["rentals.requested.machines"] = { status.requestedMachines }
        gauges["direct.starts"] = { status.directStarts }
        gauges["token.advances"] = { status.tokenAdvances }
        gauges["heap.used.bytes"] = { HeapUsage.usedBytes }
        gauges["heap.max.bytes"] = { HeapUsage.maxBytes }
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

    /** The current values of all meters, one line for each measurement. */
    fun text(): String {
        val activeRegistry = registry ?: createRegistry()
        return buildString {
            for (meter in activeRegistry.meters.sortedBy { it.id.name }) {
                for (measurement in meter.measure()) {
                    append(formatLine(meter.id, measurement.statistic.tagValueRepresentation, measurement.value))
                }
            }
        }
    }

    private fun createRegistry(): SimpleMeterRegistry {
        val created = SimpleMeterRegistry()
        for ((name, recorded) in durations) created.publish(name, recorded)
        for ((name, value) in gauges) created.publish(name, value)
        for ((reason, counter) in refusalsByReason) created.publish(reason, counter)
        for (invariant in Invariant.entries) created.publish(invariant)
        FunctionCounter.builder("$PREFIX.plan.priced", this) { it.pricedMachines.toDouble() }.register(created)
        registry = created
        return created
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
        for (fraction in PERCENTILES) {
            Gauge
                .builder("$PREFIX.$name.percentile") { recorded.percentileSeconds(fraction) }
                .tag("phi", fraction.toString())
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
        counter: RefusalCounter,
    ) {
        FunctionCounter.builder("$PREFIX.refused", counter) { it.count.toDouble() }.tag("reason", reason).register(this)
    }

    private fun SimpleMeterRegistry.publish(invariant: Invariant) {
        FunctionCounter
            .builder("$PREFIX.invariant.violated", violations) { (it[invariant] ?: 0L).toDouble() }
            .tag("invariant", invariant.label)
            .register(this)
    }

    private fun formatLine(
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
