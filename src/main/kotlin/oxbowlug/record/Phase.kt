package oxbowlug.record

internal enum class Phase(
    val wire: String,
) {
    ACTIVE("active"),
    DONE("done"),
    CANCELLED("cancelled"),
    ;

    val isFinal: Boolean get() = this != ACTIVE
}
