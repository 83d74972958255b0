package oxbowlug.record

import oxbowlug.wire.fields

/**
 * Layouts of what this service stores. While controllers of several versions serve side by side, only what the oldest
 * of them reads and keeps may be written; a committed marker says that all of them read the newer layout.
 */
internal object DataFormat {
    /** Each job in one value, without predecessors. */
    const val SINGLE_VALUE = 1L

    /** A job's head and its parts ([RecordLayout]), and jobs that wait for others. */
    const val HEAD_AND_PARTS = 2L

    /** The newest that this version writes. */
    const val NEWEST = HEAD_AND_PARTS

    private const val FIELD = "format"

    fun encode(format: Long): Map<String, Any?> = mapOf(FIELD to format)

    fun decode(value: Map<String, Any?>): Long = value.fields().count(FIELD, min = SINGLE_VALUE)
}
