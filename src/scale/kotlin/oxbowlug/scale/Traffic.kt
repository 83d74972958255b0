package oxbowlug.scale

import org.HdrHistogram.Histogram

/** Counts the messages of one kind and their bytes since the run's start. */
internal class MessageCounter {
    var messages = 0L
        private set
    var bytes = 0L
        private set

    fun count(bodyBytes: Int, headerBytes: Int) {
        messages++
        bytes += bodyBytes + headerBytes
    }
}

/**
 * Counts the messages and bytes on the stand-ins' connections. Bodies are counted at their real size, HTTP headers at
 * the fixed size that they have here. TCP headers are not counted.
 */
internal class Traffic {
    val reports = MessageCounter()
    val heartbeatResponses = MessageCounter()
    val directCommands = MessageCounter()
    val directResponses = MessageCounter()
    val peerBytes = MessageCounter()
    var redirects = 0L
    var unavailable = 0L
    var failedHeartbeats = 0L
    var stateReads = 0L
    var stateWatches = 0L
    var stateCommits = 0L
    var stateLeaseCalls = 0L
    var stateRefused = 0L
    var cloudCalls = 0L
    val stateRequests: Long get() = stateReads + stateWatches + stateCommits + stateLeaseCalls

    companion object {
        /** `POST /hello` with host, content type and content length, as Vert.x writes them. */
        const val REQUEST_HEADER_BYTES = 108

        /** The status line with a content length. */
        const val RESPONSE_HEADER_BYTES = 40
    }
}

/** A histogram of durations in milliseconds, with a precision of two significant digits. */
internal class Durations {
    private val histogram = Histogram(MAX_DURATION_MS, 2)
    val count: Long get() = histogram.totalCount

    fun record(millis: Long) = histogram.recordValue(millis.coerceIn(0, MAX_DURATION_MS))

    fun summary() = DurationSummary(
        histogram.totalCount,
        histogram.getValueAtPercentile(MEDIAN),
        histogram.getValueAtPercentile(NINETY_NINE),
        histogram.maxValue,
    )

    private companion object {
        const val MAX_DURATION_MS = 3_600_000L
        const val MEDIAN = 50.0
        const val NINETY_NINE = 99.0
    }
}

internal data class DurationSummary(val count: Long, val p50Ms: Long, val p99Ms: Long, val maxMs: Long)
