package oxbowlug.cluster

import oxbowlug.timing.Timing
import oxbowlug.wire.MachineState
import oxbowlug.wire.Zone

/**
 * Counts the silent machines of each zone, once a tick: a count for each machine would take time quadratic in the size
 * of the fleet. If some machines of a zone are silent, they hang or are dead; if most are, the zone is partitioned or
 * this controller itself has a fault.
 */
internal class ZoneLiveness(
    machines: Collection<Machine>,
    timing: Timing,
    startedAt: Long,
    now: Long,
) {
    private class MachineCounts {
        /** Machines that should send heartbeats: they have sent one, or the cloud lists them as running. */
        var expected = 0

        /** Expected machines whose newest message isn't late. */
        var responding = 0

        /** Expected machines that aren't being released. */
        var retained = 0

        /** Retained machines without a message for so long that their zone may be partitioned. */
        var silent = 0
    }

    private val zones = HashMap<Zone?, MachineCounts>()

    /** Machines that have been silent for so long that they are likely to hang or to be dead. */
    val suspects = ArrayList<Machine>()

    init {
        for (machine in machines) {
            val count = zones.getOrPut(machine.zone, ::MachineCounts)
            val lastContactAt = machine.lastContactAt
            if (lastContactAt == null && machine.listed != MachineState.RUNNING) continue
            count.expected++
            if (lastContactAt != null && now - lastContactAt <= timing.heartbeatLateMs) count.responding++
            if (machine.isReleasing) continue
            count.retained++
            // A leader that was elected during a partition has had no message from the machines behind it.
            val since = lastContactAt ?: maxOf(startedAt, machine.firstSeenAt)
            if (now - since > timing.zonePartitionSilenceMs) count.silent++
            if (lastContactAt != null && now - lastContactAt > timing.suspectAfterMs) suspects.add(machine)
        }
    }

    /** Whether most of the zone's machines send heartbeats. If not, releasing machines would make an outage worse. */
    fun isMajorityAlive(zone: Zone?): Boolean = zones[zone]?.let { it.responding * 2 > it.expected } ?: false

    /** Whether so many of the zone's machines are silent that a partition is more likely than their failure. */
    fun isPartitioned(zone: Zone?): Boolean =
        zones[zone]?.let { it.silent > maxOf(1, it.retained / PARTITION_DIVISOR) } ?: false

    private companion object {
        /** At most one in this many of a zone's machines is expected to hang or fail at the same time. */
        const val PARTITION_DIVISOR = 3
    }
}
