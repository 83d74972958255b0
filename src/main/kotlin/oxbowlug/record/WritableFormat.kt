package oxbowlug.record

import oxbowlug.wire.InvalidField

/** Which layout this controller may write now, as the marker in the state service says. */
internal enum class WritableFormat {
    /** No marker: some controller may still run a version that reads single values only. */
    SINGLE_VALUE,

    HEAD_AND_PARTS,

    /** The marker is of a newer version, or can't be read: whatever is written here might be misread. */
    NONE,
    ;

    companion object {
        /** [value] is that of [Keys.FORMAT_MARKER], null if it is absent. */
        fun ofMarker(value: Map<String, Any?>?): WritableFormat {
            if (value == null) return SINGLE_VALUE
            val format =
                try {
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
