package oxbowlug.cluster

import oxbowlug.timing.Timing
import oxbowlug.wire.MachineState
import oxbowlug.wire.Zone

/**
 * Which machines are silent, counted once a tick and zone by zone: asked for each machine, it would cost the square of
 * the fleet. Some silent machines of a zone hang or are dead; most of a zone is a cut, or trouble of our own.
 */
internal class ZoneLiveness(
    machines: Collection<Machine>,
    timing: Timing,
    startedAt: Long,
    now: Long,
) {
    private class Count {
        var expected = 0
        var heard = 0
        var kept = 0
        var silent = 0
    }

    private val zones = HashMap<Zone?, Count>()

    /** Silent for so long that they are likely to hang or to be dead. */
    val suspects = ArrayList<Machine>()

    init {
        for (machine in machines) {
            val count = zones.getOrPut(machine.zone, ::Count)
            val lastContactAt = machine.lastContactAt
            if (lastContactAt == null && machine.listed != MachineState.RUNNING) continue
            count.expected++
            if (lastContactAt != null && now - lastContactAt <= timing.heartbeatLateMs) count.heard++
            if (machine.isReleasing) continue
            count.kept++
            // A leader elected during a cut has never heard the machines behind it.
            val since = lastContactAt ?: maxOf(startedAt, machine.firstSeenAt)
            if (now - since > timing.zonePartitionSilenceMs) count.silent++
            if (lastContactAt != null && now - lastContactAt > timing.suspectAfterMs) suspects.add(machine)
        }
    }

    /** If most of a zone is silent, releasing its machines would make it worse. */
    fun isMajorityAlive(zone: Zone?): Boolean = zones[zone]?.let { it.heard * 2 > it.expected } ?: false

    /** So many machines of the zone are silent that a network partition is likelier than their deaths. */
    fun isPartitioned(zone: Zone?): Boolean = zones[zone]?.let { it.silent > maxOf(1, it.kept / CUT_DIVISOR) } ?: false

    private companion object {
        /** More than one in so many of a zone's machines don't hang or die at a time. */
        const val CUT_DIVISOR = 3
    }
}
