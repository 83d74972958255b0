package oxbowlug.scale

import oxbowlug.wire.Zone

/** Sender or receiver of a message. Users, the cloud and the state service belong to no zone. */
internal sealed interface Endpoint {
    val zone: Zone?

    data class Controller(val identity: ControllerIdentity) : Endpoint {
        override val zone: Zone get() = identity.zone
    }

    data class Worker(override val zone: Zone) : Endpoint

    data object StateService : Endpoint {
        override val zone: Zone? = null
    }

    data object CloudProvider : Endpoint {
        override val zone: Zone? = null
    }

    data object UserSide : Endpoint {
        override val zone: Zone? = null
    }
}
