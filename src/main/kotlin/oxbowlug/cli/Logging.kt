package oxbowlug.cli

import oxbowlug.config.InvalidSettings

/** Configures logging in code, so that no configuration file is searched for when the process starts. */
internal object Logging {
    private const val PREFIX = "org.slf4j.simpleLogger."
    private val levels = setOf("error", "warn", "info", "debug")

    /** Logs at [level], or at info if it is null or empty. Throws [InvalidSettings] for an unknown level. */
    fun configure(level: String?) {
        val effectiveLevel = if (level.isNullOrEmpty()) "info" else level.lowercase()
        if (effectiveLevel !in levels) throw InvalidSettings("LOG_LEVEL: must be one of ${levels.joinToString(", ")}")
        // Naming the provider avoids a search for it in every library when the process starts.
        System.setProperty("slf4j.provider", "org.slf4j.simple.SimpleServiceProvider")
        // Otherwise SLF4J would log its choice of provider at every start, at any log level.
        System.setProperty("slf4j.internal.verbosity", "WARN")
        set("defaultLogLevel", effectiveLevel)
        set("showThreadName", "false")
        // Milliseconds since the start: formatting dates would load calendars and locales when the process starts.
        set("showDateTime", "true")
        // Operators don't need the libraries' messages below errors.
        set("log.io.netty", "error")
        set("log.io.vertx", "error")
        // A network partition resets some hundred connections at once. Vert.x would log a line for each, which adds
        // nothing to the core's own log.
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
