package oxbowlug.soak

/** What can be made to go wrong. Each kind is played alike on virtual time and on real processes. */
internal enum class FaultKind {
    KILL_CONTROLLER,
    KILL_LEADER,
    KILL_ALL_CONTROLLERS,
    PAUSE_CONTROLLER,
    PAUSE_LEADER,
    CUT_CONTROLLER_FROM_STATE,
    CUT_LEADER_FROM_STATE,
    CUT_LEADER_FROM_STATE_AND_PEERS,
    CUT_CONTROLLER_FROM_STATE_AND_PEERS,
    CUT_CONTROLLER_FROM_PEERS,
    CUT_LEADER_FROM_PEERS,
    CUT_CONTROLLER_FROM_WORKERS,
    CUT_LEADER_FROM_WORKERS,
    CUT_CONTROLLER_FROM_USERS,
    CUT_LEADER_FROM_CLOUD,
    CUT_ZONE,
    STATE_OUTAGE,
    CLOUD_OUTAGE,

    /** The leader's open reads of changes get no answer, while all its other calls are served. */
    DROP_LEADER_WATCH_ANSWERS,
    REFUSE_WRITES,
    SLOW_WRITE_ANSWERS,
    LOSE_WRITE_ANSWERS,
    DELAY_WRITES,
    DISCARD_CHANGE_HISTORY,
    LOSE_MESSAGES,
    DELAY_MESSAGES,
    DUPLICATE_HEARTBEATS,
    REPLAY_OLD_HEARTBEATS,
    STALL_PEER_LINKS,
    UNRESPONSIVE_WORKERS,
    LOSE_HEARTBEATS,
    HANG_WORKERS,

    /** No answers reach them until their leases are over, and then their reports get nowhere. */
    LOSE_ANSWERS_THEN_HEARTBEATS,

    /** Users call off jobs that run. */
    CANCEL_RUNNING,

    /** The same, and the machines that hold them hang. */
    CANCEL_RUNNING_AND_HANG,
}

/**
 * One trouble of a schedule. All times are in milliseconds since the schedule began; [target] chooses among whatever
 * there is to choose from, by its remainder.
 */
internal data class Fault(val kind: FaultKind, val atMs: Long, val forMs: Long, val target: Int) {
    val untilMs: Long get() = atMs + forMs

    override fun toString(): String = "$atMs ms $kind, target $target, for $forMs ms"
}
