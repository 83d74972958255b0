package oxbowlug.port

/** The clocks of this node. May be read from any thread. */
internal interface Clock {
    /** Milliseconds since some moment, never set back: for every wait and every proof that a lease has expired. */
    fun steadyMs(): Long

    /** Milliseconds since the epoch of Unix, which may jump: only for what several nodes compare. */
    fun wallMs(): Long

    /** Nanoseconds since some moment, for how long this process's own work takes. */
    fun nanoTime(): Long
}
