package oxbowlug.scheduling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import oxbowlug.cluster.Job
import oxbowlug.record.JobRecord
import oxbowlug.record.Phase
import oxbowlug.wire.JobId
import oxbowlug.wire.JobSpecCodec
import oxbowlug.wire.JobSpecCodecTest
import oxbowlug.wire.Priority
import java.util.BitSet

/** Tests that jobs inherit the priority and the deadline that users set only on the last job of a pipeline. */
internal class InheritedPriorityTest {
    private val spec =
        JobSpecCodec
            .decode(JobSpecCodecTest.valid())
            .copy(priority = Priority.LOW, deadlineS = null, runEstimateS = 10.0, imageGb = 0.0)

    private fun job(
        id: String,
        vararg dependsOn: String,
        priority: Priority = Priority.LOW,
        deadlineS: Double? = null,
    ) = Job(
        JobRecord(
            spec.copy(
                id = JobId(id),
                dependsOn = dependsOn.map(::JobId),
                priority = priority,
                deadlineS = deadlineS,
            ),
            0,
            Phase.ACTIVE,
            BitSet(),
            1,
            emptyMap(),
            "w",
        ),
        1,
    )

    private fun update(vararg jobs: Job) =
        InheritedPriority.update(jobs.associateBy { it.id }, emptyList(), stageMs = 2_000)

    @Test
    fun `predecessors inherit the priority and the deadline less the stages in between`() {
        val first = job("a")
        val left = job("b", "a")
        val right = job("c", "a", deadlineS = 40.0)
        val last = job("d", "a", "b", "c", priority = Priority.HIGH, deadlineS = 100.0)
        val other = job("other", priority = Priority.NORMAL, deadlineS = 7.0)
        update(first, left, right, last, other)
        assertEquals(List(4) { Priority.HIGH }, listOf(first, left, right, last).map { it.priority })
        assertEquals(
            listOf(100_000L, 40_000L, 88_000L, 28_000L),
            listOf(last, right, left, first).map {
                it.latestEndMs
            },
        )
        assertEquals(Priority.NORMAL to 7_000L, other.priority to other.latestEndMs)
    }

    @Test
    fun `a cancelled job passes nothing on to its predecessors`() {
        val first = job("a")
        val last = job("b", "a", priority = Priority.HIGH, deadlineS = 100.0)
        update(first, last)
        assertEquals(Priority.HIGH, first.priority)
        last.cancelByPredecessor(0, 0)
        update(first, last)
        assertEquals(Priority.LOW to null, first.priority to first.latestEndMs)
    }

    @Test
    fun `a chain of 20000 jobs is traversed once`() {
        val length = 20_000
        val chain =
            List(length) { index ->
                val deadlineS = if (index == length - 1) 1e6 else null
                if (index == 0) job("0") else job("$index", "${index - 1}", deadlineS = deadlineS)
            }
        update(*chain.toTypedArray())
        assertEquals(1_000_000_000L - (length - 1) * 12_000L, chain.first().latestEndMs)
    }
}
