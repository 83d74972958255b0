package oxbowlug.scale

import java.io.File

/** Writes the settings, the policy and the start command of each controller, as the platform provides them. */
internal class ControllerFiles(
    private val options: ScaleOptions,
    private val topology: Topology,
    private val fleet: FleetPlan,
    /** Class path from which controllers run instead of the deployed jar, which isn't built yet when tests run. */
    private val classPath: String? = null,
) {
    private val folder = options.output

    fun processes(): List<ControllerProcess> {
        folder.mkdirs()
        val policy = File(folder, "policy.lua")
        policy.writeText(policy())
        return topology.controllers.map { identity ->
            val settings = File(folder, "${identity.label}.toml")
            settings.writeText(settings(identity))
            val log = File(folder, "${identity.label}.log")
            log.delete()
            val arguments = listOf(settings.path, "--policy", policy.path)
            ControllerProcess(identity, startCommand() + arguments, log)
        }
    }

    /** A policy that doesn't release idle machines: saving rent isn't measured, and the fleet has to keep its size. */
    private fun policy(): String = buildString {
        appendLine("return {")
        appendLine("    idle_boots = 1000,")
        if (options.regionalDelegates) {
            appendLine("    regions = {")
            for ((region, zones) in topology.zones.groupBy { topology.region(it) }) {
                appendLine("        [\"region-$region\"] = { ${zones.joinToString { "\"$it\"" }} },")
            }
            appendLine("    },")
        }
        appendLine("}")
    }

    /** The start command of the deploy file, with the heap size replaced if the options set one. */
    private fun startCommand(): List<String> {
        val line = options.deploy.readLines().firstOrNull { it.startsWith(RUN_KEY) }
            ?: throw StartFailed("${options.deploy}: no run command found")
        val words = withClassPath(line.substringAfter('"').substringBeforeLast('"').split(' '))
        val heap = options.heapMb ?: return words
        return words.map { word -> if (word.startsWith("-Xmx")) "-Xmx${heap}m" else word }
    }

    private fun withClassPath(words: List<String>): List<String> {
        if (classPath == null) return words
        val jar = words.indexOf("-jar")
        val flags = words.take(jar).filterNot { it.startsWith("-XX:SharedArchiveFile") }
        return flags + listOf("-cp", classPath, "oxbowlug.cli.MainKt") + words.drop(jar + 2)
    }

    private fun settings(identity: ControllerIdentity): String = buildString {
        appendLine("label = \"${identity.label}\"")
        appendLine("location = \"${identity.zone}\"")
        appendLine("client_listen = \"${identity.clientHost}:${identity.clientPort}\"")
        appendLine("peer_listen = \"${identity.peerHost}:${identity.peerPort}\"")
        for (other in topology.controllers) {
            if (other === identity) continue
            appendLine("[[others]]")
            appendLine("label = \"${other.label}\"")
            appendLine("location = \"${other.zone}\"")
            appendLine("addr = \"${other.proxyHost(identity)}:${topology.ports.peerProxy}\"")
        }
        appendLine("[outside]")
        appendLine("cloud = \"${identity.cloudHost}:${topology.ports.cloud}\"")
        appendLine("state = \"${identity.stateHost}:${topology.ports.state}\"")
        appendLine("[settings]")
        appendLine("nodes = ${topology.controllers.size}")
        appendLine("zones = [${topology.zones.joinToString { "\"$it\"" }}]")
        appendLine("skew_ms = 100.0")
        appendTeams()
        appendObjectives()
        appendLimits()
    }

    private fun StringBuilder.appendTeams() {
        for (team in fleet.teams) {
            appendLine("[[settings.teams]]")
            appendLine("name = \"${team.name}\"")
            appendLine("cpus = ${team.guaranteedCores}")
            appendLine("cpus_max = ${team.maxCores}")
            appendLine("gpus = ${team.guaranteedGpus}")
            appendLine("gpus_max = ${team.maxGpus}")
        }
    }

    private fun StringBuilder.appendObjectives() {
        for ((name, withinS) in FleetPlan.START_TARGETS_S) {
            appendLine("[[settings.objectives]]")
            appendLine("kind = \"wait\"")
            appendLine("class = \"$name\"")
            appendLine("within_s = $withinS")
            appendLine("share = 0.9")
        }
    }

    private fun StringBuilder.appendLimits() {
        appendLine("[settings.workers]")
        appendLine("report_s = ${options.heartbeatS}")
        appendLine("lease_s = ${options.leaseS}")
        appendLine("cancel_s = ${options.leaseS * CANCEL_LEASES}")
        appendLine("[settings.state]")
        appendLine("rps = ${options.stateRps}")
        appendLine("write_rps = ${options.writeRps}")
        appendLine("value_kb = ${FleetPlan.VALUE_KB}")
        appendLine("txn_ops = ${FleetPlan.TXN_OPS}")
        appendLine("[settings.cloud]")
        appendLine("rps = ${options.cloudRps}")
        appendLine("list_lag_s = ${FleetPlan.LIST_LAG_MS / MS_PER_S}")
        appendLine("[settings.limits]")
        appendLine("max_sockets = ${options.maxSockets}")
    }

    companion object {
        /** Time limit for stopping cancelled work, in worker leases. */
        const val CANCEL_LEASES = 2.4

        private const val RUN_KEY = "run = "
        private const val MS_PER_S = 1000.0
    }
}
