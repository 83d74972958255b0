package oxbowlug.record

/** The phase of a job; [wire] is its stored text. */
internal enum class Phase(
    val wire: String,
) {
    ACTIVE("active"),
    DONE("done"),
    CANCELLED("cancelled"),
    ;

    val isFinal: Boolean get() = this != ACTIVE
}
