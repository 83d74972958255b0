package oxbowlug.scaling

/** Why the leader releases a machine. Its name goes to the log. */
internal enum class ReleaseReason {
    /** Not heard of for `silent_leases`. */
    SILENT,

    /** Not heard of for a shorter time, but its replicas, started elsewhere at once, are worth more than a boot. */
    SILENT_WITH_REPLICAS,

    /** Tasks of several jobs failed on it. */
    QUARANTINED,
    IDLE,

    /** A cancelled task that can't be seen to end is ended with its machine. */
    HOLDS_CANCELLED_WORK,

    /** Booting for longer than `boot_patience` allows. */
    NEVER_BOOTED,
    ;

    override fun toString(): String = name.lowercase()
}
