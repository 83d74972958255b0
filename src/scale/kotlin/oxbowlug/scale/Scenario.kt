package oxbowlug.scale

/** The scenarios of a run, in turn on the same fleet. [seconds] is the length, including the time to recover. */
internal enum class Scenario(val wire: String, val seconds: Int, val title: String) {
    ORDINARY("ordinary", 20, "ordinary load"),
    PEAK("peak", 20, "the peak of starts"),
    LEADER_KILLED("leader-killed", 25, "the leader is killed"),
    CONTROLLER_PAUSED("controller-paused", 35, "the leader stands still for longer than a lease"),
    ZONE_CUT("zone-cut", 45, "a zone is cut off, for two leases"),
    REGIONS_APART("regions-apart", 80, "two regions can't reach each other for a minute"),
    ALL_ENDED("all-ended", 45, "all controllers end, and come back after 5 s"),
    ;

    companion object {
        val names: String = entries.joinToString { it.wire }

        fun of(name: String): Scenario? = entries.firstOrNull { it.wire == name }
    }
}
