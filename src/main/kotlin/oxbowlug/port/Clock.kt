package oxbowlug.port

/** The clocks of this node. Thread-safe. */
internal interface Clock {
    /** Monotonic milliseconds since an arbitrary origin: for all timeouts and all proofs that a lease has expired. */
    fun steadyMs(): Long

    /** Milliseconds since the Unix epoch, which may jump: only for times that several nodes compare. */
    fun wallMs(): Long

    /** Monotonic nanoseconds since an arbitrary origin: for measuring how long this process's own work takes. */
    fun nanoTime(): Long
}
