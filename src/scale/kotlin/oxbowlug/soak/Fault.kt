package oxbowlug.soak

/**
 * The kinds of injected faults. The simulation injects them on virtual time, the soak on real controller processes.
 *
 * Kinds that begin with CUT are network partitions: messages between the named ends are held, lost or refused.
 */
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

    /** The state service doesn't answer the leader's open watches, but serves all its other calls. */
    DROP_LEADER_WATCH_ANSWERS,
    REFUSE_WRITES,
    SLOW_WRITE_ANSWERS,
    LOSE_WRITE_ANSWERS,
    DELAY_WRITES,

    /** The state service drops its change history, so each reader of older changes has to read everything again. */
    DISCARD_CHANGE_HISTORY,
    LOSE_MESSAGES,
    DELAY_MESSAGES,

    /** Some of the workers' heartbeats are delivered a second time, late. */
    DUPLICATE_HEARTBEATS,

    /** Heartbeats sent during the fault are delivered again when another controller becomes leader. */
    REPLAY_OLD_HEARTBEATS,

    /** Frames between controllers are held and delivered late. */
    STALL_PEER_LINKS,

    /** Some workers receive neither direct commands nor answers to their heartbeats. */
    UNRESPONSIVE_WORKERS,

    /** Some workers' heartbeats are lost. */
    LOSE_HEARTBEATS,

    /** Some workers' machines stand still. */
    HANG_WORKERS,

    /** Some workers get no answers to their heartbeats until their leases expire; then their heartbeats are lost. */
    LOSE_ANSWERS_THEN_HEARTBEATS,

    /** Requests of the controllers that are executed meanwhile are executed once more, up to minutes later. */
    REPEAT_REQUESTS,

    /** Users cancel running jobs. */
    CANCEL_RUNNING,

    /** Users cancel running jobs, and the machines that run their tasks hang. */
    CANCEL_RUNNING_AND_HANG,
}

/**
 * One fault of a schedule: it begins [atMs] milliseconds after the schedule's start and lasts [forMs] milliseconds.
 * [target], modulo the number of candidates, selects the affected controller, zone, variant or number of workers.
 */
internal data class Fault(val kind: FaultKind, val atMs: Long, val forMs: Long, val target: Int) {
    val untilMs: Long get() = atMs + forMs

    override fun toString(): String = "$atMs ms $kind, target $target, for $forMs ms"
}
