package oxbowlug.scaling

/** Why the leader releases a machine. The log shows the name of the constant in lower case. */
internal enum class ReleaseReason {
    /** The worker sent no heartbeat for `silent_leases` worker leases, or longer where replacements are scarce. */
    SILENT,

    /** Silent for a shorter time, but restarting its replicas elsewhere at once is worth the boot of a machine. */
    SILENT_WITH_REPLICAS,

    /** Tasks of several jobs failed on it. */
    QUARANTINED,

    /** Without tasks for `idle_boots` boot times, or emptied by a move. */
    IDLE,

    /** A cancelled task isn't known to have ended in time, so it is ended by releasing its machine. */
    HOLDS_CANCELLED_WORK,

    /** Booting for longer than `boot_patience` allows. */
    NEVER_BOOTED,
    ;

    override fun toString(): String = name.lowercase()
}
