/** Users submit three arrays of the size that the protocol allows, of a class that has an objective for its starts. */
final class Case2 extends Trial {
    private static final int MOST_TASKS = 100_000;
    private static final int USUAL_TASKS = 60;
    private static final int ARRAYS = 3;
    private static final String SERVICE = "run-000001";
    private static final String OBJECTIVE = """
        [[settings.objectives]]
        kind = "wait"
        class = "bojanje"
        within_s = 40.0
        share = 0.975
        """;

    public static void main(String[] arguments) {
        new Case2().run(arguments[0]);
    }

    @Override
    int play() throws Exception {
        begin(44, 6, OBJECTIVE);
        submit(Site.job(SERVICE, "pomocnik", "tim-podrska", "standing", "prod", 4, 5.0, 1.0, 18.0), 0, false);
        awaitRunning(SERVICE, 4, 15_000);
        for (int i = 0; i < ARRAYS; i++) {
            submit(
                Site.job("run-00001" + i, "bojanje", "tim-slagalice", "batch", "best_effort",
                    trouble ? MOST_TASKS : USUAL_TASKS, 60.0, 8.0, 200.0), 3000, false);
        }
        int ended = 0;
        long startedAt = Fleet.now();
        long nextPollAt = startedAt;
        int polls = 0;
        int answered = 0;
        while (Fleet.now() < startedAt + 60_000) {
            ended += restartEnded();
            if (Fleet.now() >= nextPollAt) {
                nextPollAt = Fleet.now() + 2000;
                if (poll(node(polls++), SERVICE).status() == 200) answered++;
                record.line("leader " + state.leader() + ", replicas that run: " + record.running(SERVICE)
                    + " of 4, machines asked of the cloud: " + fleet.machinesAskedFor);
            }
            Fleet.pause(50);
        }
        record.line("questions answered: " + answered + " of " + polls + "; controllers that ended by themselves: "
            + ended);
        if (ended == 0) return HELD;
        record.line("BROKEN: a controller is a process that keeps running until it is killed; none was killed, and "
            + ended + " times one ended");
        return BROKEN;
    }
}
