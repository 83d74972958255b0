package oxbowlug.record

/** A job's phase as it is stored; [wire] is its text. */
internal enum class Phase(
    val wire: String,
) {
    ACTIVE("active"),
    DONE("done"),
    CANCELLED("cancelled"),
    ;

    val isFinal: Boolean get() = this != ACTIVE
}
