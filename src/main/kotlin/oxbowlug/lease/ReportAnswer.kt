package oxbowlug.lease

import oxbowlug.wire.Token
import oxbowlug.wire.WorkerCommand

sealed interface ReportAnswer {
    data class Taken(val token: Token, val commands: List<WorkerCommand>) : ReportAnswer

    data class Redirect(val label: String?) : ReportAnswer

    data object Unavailable : ReportAnswer
}
