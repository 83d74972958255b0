package oxbowlug.core

/** What the core counts; the adapter publishes it. */
interface Meters {
    fun planned(nanos: Long)

    fun committed(millis: Long)

    fun refused(reason: String)
}
