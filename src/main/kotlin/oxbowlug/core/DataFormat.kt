package oxbowlug.core

import oxbowlug.wire.InvalidField
import oxbowlug.wire.fields

/**
 * Layouts of what this service stores. While controllers of several versions serve side by side, only what the oldest
 * of them reads and keeps may be written; a committed marker says that all of them read the newer layout.
 */
object DataFormat {
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

/** Which layout this controller may write now, as the marker in the state service says. */
enum class WritableFormat {
    /** No marker: some controller may still run a version that reads single values only. */
    SINGLE_VALUE,

    HEAD_AND_PARTS,

    /** The marker is of a newer version, or can't be read: whatever is written here might be misread. */
    NONE,
    ;

    companion object {
        fun ofMarker(value: Map<String, Any?>?): WritableFormat {
            if (value == null) return SINGLE_VALUE
            val format = try {
                DataFormat.decode(value)
            } catch (_: InvalidField) {
                return NONE
            }
            return when (format) {
                DataFormat.SINGLE_VALUE -> SINGLE_VALUE
                DataFormat.HEAD_AND_PARTS -> HEAD_AND_PARTS
                else -> NONE
            }
        }
    }
}
