package oxbowlug.cli

import oxbowlug.config.InvalidSettings

/** Logging is set up in code: no configuration file is looked for when the process starts. */
internal object Logging {
    private const val PREFIX = "org.slf4j.simpleLogger."
    private val levels = setOf("error", "warn", "info", "debug")

    fun configure(level: String?) {
        val chosen = if (level.isNullOrEmpty()) "info" else level.lowercase()
        if (chosen !in levels) throw InvalidSettings("LOG_LEVEL: must be one of ${levels.joinToString(", ")}")
        // Named here, it isn't searched for in every library when the process starts.
        System.setProperty("slf4j.provider", "org.slf4j.simple.SimpleServiceProvider")
        // It would say so on every start, whatever the level.
        System.setProperty("slf4j.internal.verbosity", "WARN")
        set("defaultLogLevel", chosen)
        set("showThreadName", "false")
        // Milliseconds since the start: a formatted date would load calendars and locales when the process starts.
        set("showDateTime", "true")
        // The libraries' own chatter is of no use to operators.
        set("log.io.netty", "error")
        set("log.io.vertx", "error")
        // A line for each connection that a cut resets, some hundred at a time, tells nothing that the core doesn't.
        set("log.io.vertx.core.net", "off")
        set("log.io.micrometer", "error")
    }

    private fun set(
        name: String,
        value: String,
    ) {
        System.setProperty(PREFIX + name, value)
    }
}
