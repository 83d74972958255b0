package oxbowlug.wire

/**
 * An upper bound of this value's size in bytes as JSON. The state service's size limits apply to the JSON form, with a
 * space after each separator and with all characters other than printable ASCII escaped.
 */
fun Any?.sizeAsJson(): Int =
    when (this) {
        null -> 4
        is Boolean -> 5
        is String -> 2 + sumOf { character -> escapedSize(character) }
        is Double -> toString().length
        is Number -> toString().length
        is Map<*, *> ->
            2 +
                entries.sumOf { (key, value) -> key.toString().sizeAsJson() + value.sizeAsJson() + ENTRY_SEPARATORS }
        is Collection<*> -> 2 + sumOf { item -> item.sizeAsJson() + 2 }
        else -> throw IllegalArgumentException("no JSON for ${javaClass.name}")
    }

private fun escapedSize(character: Char): Int =
    when (character) {
        '"', '\\' -> 2
        in ' '..'~' -> 1
        // \uXXXX
        else -> 6
    }

/** The size of a colon and a comma, each followed by a space. */
private const val ENTRY_SEPARATORS = 4
