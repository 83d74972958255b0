package oxbowlug.port

/** What the core counts; the adapter publishes it. */
internal interface Meters {
    /** A plan took so long, and priced so many machines, each counted once for a job and kind of room. */
    fun planned(
        nanos: Long,
        priced: Int,
    )

    /** One batch of commands was worked through. */
    fun stepped(nanos: Long)

    /** How late a tick came, and so how long whatever came with it waited for the owner. */
    fun waited(millis: Long)

    fun committed(millis: Long)

    fun refused(reason: String)

    fun violated(invariant: Invariant)
}
