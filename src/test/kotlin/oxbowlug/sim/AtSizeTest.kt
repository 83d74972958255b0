package oxbowlug.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import oxbowlug.config.WriteLimits

/** What a large deployment brings, made small: answers that take long, refused writes, a short history of changes. */
class AtSizeTest {
    class Case(val name: String, val play: Simulation.() -> Unit) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `no rule is broken, and all is served in the end`(case: Case) {
        for (seed in Seeds.all) play(case, seed)
    }

    /** Found with seed 5: the answer to a job's first write was taken for that to its second. */
    @Test
    fun `what starts is stored, however slow answers are and whatever is refused`() {
        for (seed in SLOW_ANSWER_SEEDS) play(cases().first { it.name == SLOW_ANSWERS }, seed)
    }

    private fun play(case: Case, seed: Long) {
        val day = Simulation(seed, shape = Shape(nodes = 5, machinesUp = 8, nextLimits = NEXT))
        day.users(everyMs = 2_500, untilMs = 90_000)
        day.pipelines(everyMs = 5_000, untilMs = 90_000)
        case.play(day)
        day.run(280_000)
        assertEquals(emptyList<String>(), day.rules.broken.take(5), "$case, seed $seed")
        assertEquals(emptyList<String>(), day.serving.broken.take(5), "$case, seed $seed")
        assertEquals(emptyList<String>(), day.rules.unfinished(), "$case, seed $seed: not served")
    }

    companion object {
        private const val SLOW_ANSWERS = "answers are slow and writes are refused"
        private val SLOW_ANSWER_SEEDS = 4L..6L
        private val NEXT = WriteLimits(writeRps = 30.0, valueKb = 0.58, txnOps = 4)

        private fun Simulation.at(ms: Long, action: Simulation.() -> Unit) = world.after(ms) { action() }

        private fun Simulation.spell(atMs: Long, forMs: Long, begin: () -> Unit, end: () -> Unit) {
            at(atMs) { begin() }
            at(atMs + forMs) { end() }
        }

        private fun Simulation.leaderEnds(atMs: Long) = at(atMs) {
            val node = leader
            if (node.isUp) {
                node.crash()
                world.after(3_000) { node.start() }
            }
        }

        private fun Simulation.slowState() = spell(
            15_000, 80_000,
            {
                weather.slowAnswers = 0.5
                weather.refusedWrites = 0.3
            },
            {
                weather.slowAnswers = 0.0
                weather.refusedWrites = 0.0
            },
        )

        @JvmStatic
        fun cases(): List<Case> = listOf(
            Case(SLOW_ANSWERS) { slowState() },
            Case("answers are slow, and leaders end") {
                slowState()
                for (ms in 25_000L..90_000L step 9_000) leaderEnds(ms)
            },
            Case("answers are slow, leaders end, machines hang and jobs are cancelled") {
                slowState()
                cancelsAtEnd = 0.1
                for (ms in 25_000L..90_000L step 9_000) leaderEnds(ms)
                for (ms in 22_000L..90_000L step 3_000) {
                    at(ms) { randomWorker()?.let { it.hungUntil = world.nowMs + world.between(2_000, 20_000) } }
                    at(ms + 500) {
                        cloud.workers.flatMap { it.onMachine() }.map { it.attempt.task.job.value }.distinct().take(1)
                            .forEach(::cancel)
                    }
                }
            },
        ).filter(Seeds::takes)
    }
}
