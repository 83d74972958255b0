package oxbowlug.testing

/** A small valid settings file; tests replace single lines of it. */
internal object SampleSettings {
    val valid =
        """
        label = "n0"
        location = "a"
        client_listen = "127.0.0.1:8080"
        peer_listen = "127.0.0.1:8081"
        [[others]]
        label = "n1"
        location = "b"
        addr = "127.0.0.2:8081"
        [outside]
        cloud = "127.0.0.3:8443"
        state = "127.0.0.4:2379"
        [settings]
        zones = ["a", "b"]
        [[settings.teams]]
        name = "vision"
        gpus = 8.0
        gpus_max = 16.0
        [[settings.objectives]]
        kind = "wait"
        class = "train"
        within_s = 10.0
        share = 0.9
        [settings.workers]
        report_s = 1.0
        lease_s = 10.0
        cancel_s = 30.0
        [settings.state]
        rps = 250.0
        write_rps = 20.0
        value_kb = 16.0
        txn_ops = 16
        [settings.cloud]
        rps = 3.0
        list_lag_s = 5.0
        """.trimIndent()
}
