package oxbowlug.core

/** What the core counts; the adapter publishes it. */
interface Meters {
    fun planned(nanos: Long)

    /** One batch of commands was worked through. */
    fun stepped(nanos: Long)

    /** How late a tick came, and so how long whatever came with it waited for the owner. */
    fun waited(millis: Long)

    fun committed(millis: Long)

    fun refused(reason: String)
}
