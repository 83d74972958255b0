package oxbowlug.scale

import com.fasterxml.jackson.databind.ObjectMapper
import kotlinx.html.HTML
import kotlinx.html.body
import kotlinx.html.div
import kotlinx.html.h1
import kotlinx.html.h2
import kotlinx.html.head
import kotlinx.html.html
import kotlinx.html.id
import kotlinx.html.meta
import kotlinx.html.p
import kotlinx.html.script
import kotlinx.html.stream.createHTML
import kotlinx.html.style
import kotlinx.html.table
import kotlinx.html.td
import kotlinx.html.th
import kotlinx.html.title
import kotlinx.html.tr
import kotlinx.html.unsafe
import java.io.File

/** Writes a finished run as JSON and as a self-contained HTML page. */
internal class ReportFiles(private val folder: File) {
    private val json = ObjectMapper()

    fun write(report: ScaleReport): List<File> {
        folder.mkdirs()
        val data = File(folder, "report-${report.workers}.json")
        json.writerWithDefaultPrettyPrinter().writeValue(data, report)
        val page = File(folder, "report-${report.workers}.html")
        page.writeText("<!DOCTYPE html>\n" + createHTML().html { page(report) })
        return listOf(data, page)
    }

    private fun HTML.page(report: ScaleReport) {
        head {
            meta(charset = "utf-8")
            title("Scale run, ${report.workers} workers")
            style { unsafe { raw(resource("uPlot.min.css") + STYLE) } }
        }
        body {
            h1 { +"Scale run: ${report.workers} workers, ${report.controllers} controllers" }
            p {
                +"On loopback, ${report.zones} zones in ${report.regions} regions, ${report.teams} teams, seed "
                +"${report.seed}. ${report.tasksWanted} tasks asked for, filled in %.0f s.".format(report.filledInS)
            }
            report.problem?.let { problem -> p("problem") { +problem } }
            table {
                tr { for (heading in ScenarioTable.headings) th { +heading } }
                for (result in report.scenarios) tr { for (cell in ScenarioTable.cells(result)) td { +cell } }
            }
            for (plot in plots(report)) {
                h2 { +plot.title }
                div { id = plot.id }
            }
            script { unsafe { raw(resource("uPlot.iife.min.js")) } }
            script { unsafe { raw(plots(report).joinToString("\n") { it.script(json) }) } }
        }
    }

    private fun plots(report: ScaleReport): List<Plot> {
        val seconds = report.samples.map { it.second }
        val labels = List(report.controllers) { "controller-$it" }

        fun lines(value: (Sample, Int) -> Number) = labels.indices.map { index ->
            report.samples.map { sample -> value(sample, index) }
        }
        return listOf(
            Plot("share", "Processor share, of a core", seconds, labels, lines { s, i -> s.processorShares[i] }),
            Plot("memory", "Resident memory, MB", seconds, labels, lines { s, i -> s.residentMb[i] }),
            Plot("sockets", "Sockets", seconds, labels, lines { s, i -> s.sockets[i] }),
            Plot("tasks", "Tasks running", seconds, listOf("tasks"), listOf(report.samples.map { it.tasksRunning })),
        )
    }

    private fun resource(name: String): String {
        val path = "/META-INF/resources/webjars/uplot/$UPLOT_VERSION/dist/$name"
        val stream = checkNotNull(javaClass.getResourceAsStream(path)) { "$path is not on the class path" }
        return stream.use { it.readBytes().decodeToString() }
    }

    private class Plot(
        val id: String,
        val title: String,
        private val seconds: List<Double>,
        private val labels: List<String>,
        private val lines: List<List<Number>>,
    ) {
        fun script(json: ObjectMapper): String {
            val series = listOf(mapOf("label" to "s")) + labels.mapIndexed { index, label ->
                mapOf("label" to label, "stroke" to COLOURS[index % COLOURS.size], "width" to 2)
            }
            val options = mapOf(
                "width" to WIDTH, "height" to HEIGHT, "series" to series,
                "scales" to mapOf("x" to mapOf("time" to false)),
            )
            val data = listOf(seconds) + lines
            return "new uPlot(${json.writeValueAsString(options)}, ${json.writeValueAsString(data)}, " +
                "document.getElementById('$id'));"
        }
    }

    private companion object {
        const val UPLOT_VERSION = "1.6.30"
        const val WIDTH = 1000
        const val HEIGHT = 260
        const val STYLE = "body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}" +
            "td,th{border:1px solid #bbb;padding:.3em .6em;text-align:right}.problem{color:#b00}"
        val COLOURS = listOf("#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#17becf", "#8c564b")
    }
}

/** The columns of the page's table and of the printed summary of a scenario. */
internal object ScenarioTable {
    val headings = listOf(
        "scenario", "leader, of a core", "leader MB", "sockets", "others, of a core", "reports/s", "KB/s a worker",
        "state requests/s", "changes/s", "longest plan ms", "latest tick ms", "starts/s (most)", "urgent p50/p99/max s",
        "accepted p99 s", "renewed s", "longest unrenewed s", "tasks lost", "rules broken",
    )

    fun cells(result: ScenarioResult): List<String> {
        val leader = result.controllers.firstOrNull { it.leads }
        val others = result.controllers.filter { !it.leads }.maxOfOrNull { it.processorShare }
        val urgent = result.urgentStart
        return listOf(
            result.scenario, share(leader?.processorShare), whole(leader?.residentMb), leader?.sockets.toString(),
            share(others), whole(result.reports.reportsPerS),
            "%.1f".format((result.reports.upBytesPerWorkerS + result.reports.downBytesPerWorkerS) / BYTES_PER_KB),
            whole(result.state.requestsPerS), "%.1f".format(result.state.changesPerS),
            whole(leader?.longestPlanMs), whole(result.controllers.maxOfOrNull { it.latestTickMs }),
            "${whole(result.startsPerS)} (${result.mostStartsInASecond})",
            if (urgent.count == 0L) "-" else triple(urgent),
            if (result.acceptance.count == 0L) "-" else seconds(result.acceptance.p99Ms),
            result.allLeasesRenewedAfterMs?.let(::seconds) ?: "-", seconds(result.longestWithoutRenewalMs),
            result.tasksLost.toString(), result.rulesBroken.size.toString(),
        )
    }

    private fun triple(durations: DurationSummary) =
        listOf(durations.p50Ms, durations.p99Ms, durations.maxMs).joinToString("/") { seconds(it) }

    private fun share(value: Double?) = if (value == null) "-" else "%.2f".format(value)

    private fun whole(value: Double?) = if (value == null) "-" else "%.0f".format(value)

    private fun seconds(millis: Long) = "%.1f".format(millis / 1000.0)

    private const val BYTES_PER_KB = 1024
}
