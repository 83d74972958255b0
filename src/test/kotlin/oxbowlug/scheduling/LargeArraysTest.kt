package oxbowlug.scheduling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import oxbowlug.cache.CachedJob
import oxbowlug.cluster.ClusterState
import oxbowlug.config.SettingsFile
import oxbowlug.fencing.FencingTokenRange
import oxbowlug.forecast.DemandForecast
import oxbowlug.plan.Plan
import oxbowlug.plan.Planner
import oxbowlug.plan.Snapshot
import oxbowlug.port.CloudPort
import oxbowlug.port.RentalOutcome
import oxbowlug.record.JobRecord
import oxbowlug.record.Member
import oxbowlug.record.Phase
import oxbowlug.record.RequestIds
import oxbowlug.record.WritableFormat
import oxbowlug.scaling.MachineScaler
import oxbowlug.testing.ManualClock
import oxbowlug.testing.SampleSettings
import oxbowlug.testing.failingInvariants
import oxbowlug.testing.permissiveContext
import oxbowlug.timing.Timing
import oxbowlug.timing.TokenBucket
import oxbowlug.wire.Cbor
import oxbowlug.wire.ClassName
import oxbowlug.wire.CloudCodec
import oxbowlug.wire.JobId
import oxbowlug.wire.JobKind
import oxbowlug.wire.JobSpecCodec
import oxbowlug.wire.JobSpecCodecTest
import oxbowlug.wire.ListedMachine
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineType
import oxbowlug.wire.RentalRequest
import oxbowlug.wire.TeamName
import oxbowlug.wire.TypeName
import oxbowlug.wire.WorkerHeartbeat
import oxbowlug.wire.Zone
import java.util.BitSet
import kotlin.random.Random

/**
 * Arrays of the largest size that the protocol allows, and many of them: what a leader's plans and rentals hold follows
 * from the team's limit and the cloud, not from what users submit.
 */
internal class LargeArraysTest {
    private val clock = ManualClock()
    private val zone = Zone("a")
    private val type =
        MachineType(TypeName("g8"), 64.0, GPUS_PER_MACHINE, 256.0, 200.0, 2.0, 20.0, 0.0, 60.0, listOf(zone))
    private val types = mapOf(type.name to type)

    /** A leader's scheduling without its other duties, of a team with [gpusMax] GPUs; 0 means no limit. */
    private inner class Leader(
        gpusMax: Double,
    ) {
        val cloud = FakeCloud()
        val settings = SettingsFile.parse(SampleSettings.valid.replace("gpus_max = 16.0", "gpus_max = $gpusMax"))
        val timing = Timing(settings, Random(1))
        val cluster =
            ClusterState(
                FencingTokenRange.after(0),
                clock,
                timing,
                DemandForecast(settings, timing.arrivalWindowMs),
                invariants = failingInvariants,
            )
        val scaler =
            MachineScaler(
                RequestIds(Member("n0", "x")),
                settings,
                cloud,
                clock,
                timing,
                TokenBucket(settings.cloud.rps),
                cluster,
                permissiveContext,
            )
        private val round =
            SchedulingRound(settings, clock, timing, cluster, scaler, clock.now) { WritableFormat.HEAD_AND_PARTS }
        lateinit var snapshot: Snapshot

        fun submit(
            arrays: Int,
            className: String = CLASS_WITH_OBJECTIVE,
        ) = repeat(arrays) { index ->
            val spec =
                JobSpecCodec.decode(JobSpecCodecTest.valid()).copy(
                    id = JobId("run-$className-$index"),
                    className = ClassName(className),
                    team = TeamName("vision"),
                    kind = JobKind.ARRAY,
                    tasks = MAX_TASKS,
                    cores = 60.0,
                    gpus = GPUS_PER_MACHINE,
                    memoryGb = 200.0,
                    types = null,
                    zone = null,
                    oneZone = false,
                    spread = false,
                    spot = false,
                    dependsOn = emptyList(),
                )
            val record = JobRecord(spec, clock.now, Phase.ACTIVE, BitSet(), 1, emptyMap(), "w")
            val value = Cbor.decode(Cbor.encode(record.encode()))
            cluster.applyJob(spec.id, CachedJob(Phase.ACTIVE, 1, spec.tasks, 0, 0, value), value)
        }

        /** One step of the leader, with a plan. */
        fun plan(): Plan {
            scaler.tick(types)
            snapshot = round.snapshot(types, mayMove = false)
            return Planner(snapshot).plan().also(round::apply)
        }

        /** The workers of all rented machines send their first heartbeats. */
        fun bootMachines() {
            for (id in cluster.machines.keys.toList()) {
                val heartbeat =
                    WorkerHeartbeat(
                        id,
                        "10.1.0.1:9000",
                        type.name,
                        zone,
                        false,
                        1,
                        1,
                        cluster.tokens.first,
                        null,
                        emptyList(),
                    )
                cluster.applyHeartbeat(heartbeat, isHeartbeat = true)
            }
        }

        val machinesOnOrder: Int get() = scaler.pendingRentals.sumOf { it.request.count }

        /** What the cloud can be asked for within one worker lease at its published rate. */
        val machinesAskedPerLease: Int
            get() = (settings.cloud.rps * settings.workers.leaseS * CloudCodec.MAX_RENTED).toInt()
    }

    /** Lists no machine, and answers rentals with [answer]; null leaves them without an answer. */
    private class FakeCloud(
        var answer: RentalOutcome? = null,
    ) : CloudPort {
        var machinesAsked = 0
        var calls = 0

        /** Each request gets all the machines that it asks for. */
        var answersWithMachines = false

        override fun types(done: (List<MachineType>?) -> Unit) = Unit

        override fun rent(
            request: RentalRequest,
            done: (RentalOutcome) -> Unit,
        ) {
            calls++
            val ids = List(request.count) { MachineId("host-%06d".format(machinesAsked + it)) }
            machinesAsked += request.count
            if (answersWithMachines) done(RentalOutcome.Rented(ids)) else answer?.let(done)
        }

        override fun releaseMachines(
            machines: List<MachineId>,
            done: (Boolean) -> Unit,
        ) = Unit

        override fun list(done: (List<ListedMachine>?) -> Unit) = done(emptyList())
    }

    @Test
    fun `capacity reserved for the largest arrays of a class stays within the team's limit`() {
        // Found by the review: three such arrays made the forecast reserve 600,000 machines, for a team with 96 GPUs,
        // and each leader ran out of memory.
        val leader = Leader(gpusMax = 16.0)
        leader.submit(arrays = 3)
        repeat(5) {
            val plan = leader.plan()
            assertTrue(plan.rentals.values.sum() <= 2, "${plan.rentals} for 16 GPUs")
            assertTrue(leader.snapshot.machines.size <= 2, "${leader.snapshot.machines.size} machines for 16 GPUs")
            clock.now += 2_000
        }
        assertTrue(leader.machinesOnOrder <= 2, "${leader.machinesOnOrder} machines on order")
        assertTrue(leader.cloud.machinesAsked > 0, "the arrays get what the team's limit allows")
    }

    @ParameterizedTest
    @ValueSource(strings = [CLASS_WITH_OBJECTIVE, "other"])
    fun `arrays of a team without a limit order no more machines than the cloud can be asked for`(className: String) {
        val leader = Leader(gpusMax = 0.0)
        leader.submit(arrays = 30, className)
        repeat(10) {
            leader.plan()
            val machines = leader.snapshot.machines.size
            assertTrue(machines <= leader.machinesAskedPerLease, "$machines machines in a snapshot")
            val onOrder = leader.machinesOnOrder
            assertTrue(onOrder <= leader.machinesAskedPerLease, "$onOrder machines on order")
            clock.now += 2_000
        }
    }

    @ParameterizedTest
    @ValueSource(strings = [CLASS_WITH_OBJECTIVE, "other"])
    fun `arrays of a team without a limit are still given machines at the cloud's rate`(className: String) {
        val leader = Leader(gpusMax = 0.0)
        leader.cloud.answersWithMachines = true
        leader.submit(arrays = 30, className)
        repeat(5) {
            leader.plan()
            repeat(20) {
                clock.now += 100
                leader.scaler.tick(types)
            }
        }
        // 10 s at 3 requests a second, some of them lists.
        assertTrue(leader.cloud.calls >= 20, "${leader.cloud.calls} requests, ${leader.cloud.machinesAsked} machines")
    }

    @Test
    fun `a snapshot holds no more tasks of an array than its team's limit allows beside those that are placed`() {
        val leader = Leader(gpusMax = 16.0)
        leader.submit(arrays = 200, className = "other")
        leader.cloud.answersWithMachines = true
        leader.plan()
        assertEquals(List(200) { 2 }, leader.snapshot.jobs.map { it.pending.size })
        leader.bootMachines()
        leader.plan()
        assertEquals(
            2,
            leader.cluster.jobs.values
                .sumOf { it.attempts.size },
        )
        leader.plan()
        assertEquals(0, leader.snapshot.jobs.size, "jobs in the snapshot of a team that is at its limit")
    }

    @Test
    fun `a refused kind is not asked for again by requests that still wait to be sent`() {
        val leader = Leader(gpusMax = 0.0)
        leader.cloud.answer = RentalOutcome.NoCapacity
        leader.submit(arrays = 3, className = "other")
        leader.plan()
        repeat(20) {
            clock.now += 100
            leader.scaler.tick(types)
        }
        assertEquals(1, leader.cloud.calls, "calls until the backoff of the refused kind ends")
        assertEquals(0, leader.machinesOnOrder)
    }

    private companion object {
        const val CLASS_WITH_OBJECTIVE = "train"
        const val MAX_TASKS = 100_000
        const val GPUS_PER_MACHINE = 8.0
    }
}
