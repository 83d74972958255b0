package oxbowlug.record

import java.util.BitSet

/** Sets of task numbers as text: `0-3,7`. */
internal object TaskRanges {
    /** The longest text of one range, with its comma. */
    const val MAX_RANGE_BYTES = 14

    fun encode(set: BitSet): String =
        buildString {
            var from = set.nextSetBit(0)
            while (from >= 0) {
                val end = set.nextClearBit(from)
                if (isNotEmpty()) append(',')
                append(from)
                if (end - 1 > from) append('-').append(end - 1)
                from = set.nextSetBit(end)
            }
        }

    fun decode(text: String): BitSet {
        val set = BitSet()
        if (text.isEmpty()) return set
        for (part in text.split(',')) {
            val dash = part.indexOf('-')
            if (dash < 0) {
                set.set(part.toInt())
            } else {
                set.set(part.substring(0, dash).toInt(), part.substring(dash + 1).toInt() + 1)
            }
        }
        return set
    }

    /** An upper bound of the length of [encode]. */
    fun maxEncodedBytes(set: BitSet): Int = rangeCount(set) * MAX_RANGE_BYTES

    /** How many ranges [encode] writes. */
    fun rangeCount(set: BitSet): Int {
        var ranges = 0
        var from = set.nextSetBit(0)
        while (from >= 0) {
            ranges++
            from = set.nextSetBit(set.nextClearBit(from))
        }
        return ranges
    }
}
