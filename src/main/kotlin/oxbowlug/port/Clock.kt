package oxbowlug.port

/** Milliseconds of the steady clock, for every wait and proof, and of the day, only for what several nodes compare. */
internal interface Clock {
    fun steadyMs(): Long

    fun wallMs(): Long

    /** Nanoseconds since some moment, for how long this process's own work takes. */
    fun nanoTime(): Long
}

/*
 * The outside, as the core sees it. A call returns at once, and its outcome comes back as a command on the core's
 * queue, so the callbacks always run in the owner of the model.
 */
