package oxbowlug.config

import com.fasterxml.jackson.core.JacksonException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.JsonNodeFactory
import oxbowlug.wire.ClassName
import oxbowlug.wire.TeamName
import oxbowlug.wire.Zone

/** Reads the platform's TOML file into checked [Settings]. Unknown fields are ignored. */
object SettingsFile {
    /** The settings of [text] under [policy]. Throws [InvalidSettings] with the path of the field that is wrong. */
    fun parse(
        text: String,
        policy: Policy = Policy(),
    ): Settings {
        val root =
            try {
                TomlTree.read(text)
            } catch (e: JacksonException) {
                throw InvalidSettings("not valid TOML: ${e.originalMessage}")
            }
        val table = Table(root, "")
        val outside = table.table("outside")
        val shared = table.table("settings")
        val workers = shared.table("workers")
        val state = shared.table("state")
        val cloud = shared.table("cloud")
        val limits = shared.tableOrEmpty("limits")
        val zones = zones(shared)
        policy.regions.problem(zones)?.let { (region, problem) ->
            throw InvalidSettings("policy.regions.$region: $problem")
        }
        return Settings(
            label = table.text("label"),
            zone = Zone(table.text("location")),
            clientListen = table.address("client_listen"),
            peerListen = table.address("peer_listen"),
            peers =
                table.tables("others").map {
                    Peer(it.text("label"), Zone(it.text("location")), it.address("addr"))
                },
            cloudAddress = outside.address("cloud"),
            stateAddress = outside.address("state"),
            zones = zones,
            maxClockSkewMs = shared.number("skew_ms", min = 0.0, default = 0.0),
            teams = shared.tables("teams").map(::team).associateBy { it.name },
            objectives = shared.tables("objectives").mapNotNull(::objective),
            workers = workers(workers),
            state = state(state),
            cloud = CloudSettings(rps = cloud.positive("rps"), listLagS = cloud.number("list_lag_s", min = 0.0)),
            limits =
                LimitSettings(
                    memoryMb = limits.number("mem_mb", min = 1.0, default = 256.0),
                    maxSockets = limits.number("max_sockets", min = 16.0, default = 512.0).toInt(),
                ),
            policy = policy,
        )
    }

    private fun state(table: Table): StateSettings {
        val present =
            WriteLimits(
                writeRps = table.positive("write_rps"),
                valueKb = table.positive("value_kb"),
                txnOps = table.operations("txn_ops"),
            )
        val next =
            table.tableOrNull("next")?.let { next ->
                WriteLimits(
                    writeRps = if (next.has("write_rps")) next.positive("write_rps") else present.writeRps,
                    valueKb = if (next.has("value_kb")) next.positive("value_kb") else present.valueKb,
                    txnOps = if (next.has("txn_ops")) next.operations("txn_ops") else present.txnOps,
                )
            }
        return StateSettings(table.positive("rps"), present, next)
    }

    private fun Table.operations(name: String): Int = positive(name).toInt().coerceAtLeast(1)

    private fun zones(table: Table): List<Zone> {
        val zones = table.texts("zones").map(::Zone)
        if (zones.isEmpty()) table.fail("zones", "must name at least one zone")
        return zones
    }

    private fun workers(table: Table): WorkerSettings {
        val workers =
            WorkerSettings(
                heartbeatIntervalS = table.positive("report_s"),
                leaseS = table.positive("lease_s"),
                cancelDeadlineS = table.positive("cancel_s"),
            )
        // Every worker would lose its tasks between two reports.
        if (workers.leaseS <= workers.heartbeatIntervalS) table.fail("lease_s", "must be more than report_s")
        return workers
    }

    private fun team(table: Table): Team {
        fun limit(name: String): Double {
            val value = table.number(name, min = 0.0, default = 0.0)
            return if (value == 0.0) Double.POSITIVE_INFINITY else value
        }
        return Team(
            name = TeamName(table.text("name")),
            guaranteedCores = table.number("cpus", min = 0.0, default = 0.0),
            maxCores = limit("cpus_max"),
            guaranteedGpus = table.number("gpus", min = 0.0, default = 0.0),
            maxGpus = limit("gpus_max"),
        )
    }

    /** Kinds that a later platform may add are passed over. */
    private fun objective(table: Table): Objective? =
        when (table.text("kind")) {
            "wait" -> Objective.Wait(ClassName(table.text("class")), table.positive("within_s"), table.share())
            "deadline" -> Objective.Deadline(ClassName(table.text("class")), table.share())
            "guarantee" -> Objective.Guarantee(table.positive("within_s"), table.share())
            else -> null
        }

    private fun Table.share(): Double {
        val value = number("share", min = 0.0)
        if (value > 1.0) fail("share", "must be at most 1")
        return value
    }

    /** A table of the file with its path, so that every complaint names the whole field. */
    private class Table(
        private val node: JsonNode,
        private val path: String,
    ) {
        fun fail(
            name: String,
            problem: String,
        ): Nothing = throw InvalidSettings("$path$name: $problem")

        private fun child(name: String): JsonNode? = node.get(name)?.takeUnless { it.isNull }

        fun text(name: String): String {
            val value = child(name) ?: fail(name, "is missing")
            if (!value.isTextual || value.textValue().isEmpty()) fail(name, "must be text")
            return value.textValue()
        }

        fun texts(name: String): List<String> {
            val value = child(name) ?: fail(name, "is missing")
            if (!value.isArray || value.any { !it.isTextual }) fail(name, "must be a list of texts")
            return value.map { it.textValue() }
        }

        fun address(name: String): Address = Address.parse(text(name)) ?: fail(name, "must be ADDRESS:PORT")

        fun number(
            name: String,
            min: Double,
            default: Double? = null,
        ): Double {
            val value = child(name) ?: return default ?: fail(name, "is missing")
            if (!value.isNumber) fail(name, "must be a number")
            val number = value.doubleValue()
            if (!(number >= min && number.isFinite())) fail(name, "must be at least $min")
            return number
        }

        fun positive(name: String): Double {
            val number = number(name, min = 0.0)
            if (number <= 0.0) fail(name, "must be more than 0")
            return number
        }

        fun table(name: String): Table {
            val value = child(name) ?: fail(name, "is missing")
            if (!value.isObject) fail(name, "must be a table")
            return Table(value, "$path$name.")
        }

        fun tableOrEmpty(name: String): Table =
            if (child(name) == null) Table(JsonNodeFactory.instance.objectNode(), "$path$name.") else table(name)

        fun has(name: String): Boolean = child(name) != null

        fun tableOrNull(name: String): Table? = if (has(name)) table(name) else null

        fun tables(name: String): List<Table> {
            val value = child(name) ?: return emptyList()
            if (!value.isArray || value.any { !it.isObject }) fail(name, "must be a list of tables")
            return value.mapIndexed { index, item -> Table(item, "$path$name[$index].") }
        }
    }
}
