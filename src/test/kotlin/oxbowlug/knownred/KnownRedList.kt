package oxbowlug.knownred

import org.opentest4j.TestAbortedException

/** A test that may fail for now, as one line of `KNOWN-RED.txt` states it: the test, the cause and the issue. */
internal data class KnownRed(
    val test: String,
    val cause: String,
    val issue: String,
)

/** Thrown for a list, or a listed test, that isn't what it has to be. */
internal class KnownRedError(
    message: String,
) : AssertionError(message)

/**
 * The tests that may fail for now. Each still runs: its failure is printed and passed over, and its success is a
 * failure, so that no line outlives the fault it stands for.
 */
internal class KnownRedList private constructor(
    val entries: List<KnownRed>,
    private val print: (String) -> Unit,
) {
    private val byTest = entries.associateBy { it.test }

    /**
     * Runs [body] as the test named [test], `package.Class#method`. Throws [TestAbortedException] where a listed test
     * fails, and [KnownRedError] where it passes; every other outcome is that of [body].
     */
    fun run(
        test: String,
        body: () -> Unit,
    ) {
        val known = byTest[test] ?: return body()
        try {
            body()
        } catch (aborted: TestAbortedException) {
            throw KnownRedError("${known.test} is listed and did not run: ${aborted.message}")
        } catch (failure: Throwable) {
            val line = "KNOWN RED ${known.test}: ${known.cause} (${known.issue}): ${failure.message}"
            print(line)
            throw TestAbortedException(line, failure)
        }
        throw KnownRedError("${known.test} passes: its line has to leave $FILE")
    }

    /** Throws [KnownRedError] unless each test is one that [exists] finds. */
    fun requireAllExist(exists: (String) -> Boolean) {
        val missing = entries.map { it.test }.filterNot(exists)
        if (missing.isNotEmpty()) throw KnownRedError("$FILE names tests that don't exist: $missing")
    }

    companion object {
        const val FILE = "KNOWN-RED.txt"
        const val MOST_ENTRIES = 3
        private const val SEPARATOR = " | "
        private const val FIELDS = 3

        /** Throws [KnownRedError] for a line without its three fields, a repeated test, or more than three lines. */
        fun parse(
            text: String,
            print: (String) -> Unit = ::println,
        ): KnownRedList {
            val entries = text.lines().filter { it.isNotBlank() }.map(::entry)
            if (entries.size > MOST_ENTRIES) throw KnownRedError("$FILE has ${entries.size} lines, of $MOST_ENTRIES")
            if (entries.distinctBy { it.test }.size < entries.size) throw KnownRedError("$FILE names a test twice")
            return KnownRedList(entries, print)
        }

        private fun entry(line: String): KnownRed {
            val fields = line.split(SEPARATOR).map { it.trim() }
            if (fields.size != FIELDS || fields.any { it.isEmpty() }) {
                throw KnownRedError("$FILE: a line needs a test, a cause and an issue, between '$SEPARATOR': $line")
            }
            return KnownRed(fields[0], fields[1], fields[2])
        }
    }
}
