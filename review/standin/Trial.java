import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One run of a case: the deployment with its stand-ins, the record, and the end with an exit code. */
abstract class Trial {
    /** Thrown when the case can't be run: exit code 2. */
    static final class CannotRun extends Exception {
        CannotRun(String message) {
            super(message);
        }
    }

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int CANNOT_RUN = 2;
    private static final long LIMIT_MS = 117_000;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record record;
    StateService state;
    Fleet fleet;
    Deployment deployment;

    /** Plays the case; returns HELD or BROKEN. */
    abstract int play() throws Exception;

    /** Runs the case, with its record in `folder`, and ends this process with its exit code. */
    final void run(String folder) {
        int code = CANNOT_RUN;
        Path temporary = null;
        try {
            record = new Record(Path.of(folder).resolve("record.txt"));
            temporary = Files.createTempDirectory("oxbowlug-review");
            record.line("trouble: " + (trouble ? "yes" : "no"));
            Thread limit = new Thread(() -> {
                Fleet.pause(LIMIT_MS);
                record.line("the time is over: the case could not be run");
                stop();
                Runtime.getRuntime().halt(CANNOT_RUN);
            });
            limit.setDaemon(true);
            limit.start();
            Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
            deployment = new Deployment(Path.of("").toAbsolutePath(), temporary, record, Site.ZONES, 3);
            code = play();
        } catch (CannotRun e) {
            record.line("could not be run: " + e.getMessage());
        } catch (Throwable e) {
            e.printStackTrace();
            if (record != null) record.line("could not be run: " + e);
        }
        stop();
        String verdict = code == HELD ? "the rule held" : code == BROKEN ? "the rule was broken" : "could not be run";
        if (record != null) record.line("exit " + code + ": " + verdict);
        System.out.println(verdict);
        if (temporary != null && System.getenv("KEEP") == null) delete(temporary);
        Runtime.getRuntime().halt(code);
    }

    private void stop() {
        if (deployment != null) deployment.stopAll();
    }

    private static void delete(Path folder) {
        try (var paths = Files.walk(folder)) {
            for (Path path : paths.sorted(java.util.Comparator.reverseOrder()).toList()) Files.deleteIfExists(path);
        } catch (java.io.IOException e) {
            System.err.println("not deleted: " + folder);
        }
    }

    /** Starts the stand-ins and three controllers; the cloud has `capacity` machines, `up` of them up. */
    final void begin(int capacity, int up, String objectives) throws Exception {
        state = new StateService(Site.STATE_RPS, Site.WRITE_RPS);
        fleet = new Fleet(List.of(Site.KOCKA), capacity, 3.0, 5.0, Site.REPORT_S, Site.LEASE_S, record);
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < deployment.controllers.size(); i++) ports.add(state.listen(i));
        deployment.write(ports, fleet.listen(), Site.settings(objectives));
        fleet.controllers.putAll(deployment.clients());
        deployment.startAll();
        for (int i = 0; i < up; i++) fleet.add(Site.KOCKA, Site.ZONES.get(i % 2), false, 0.5);
        if (!deployment.awaitHealthy(20_000)) throw new CannotRun("the controllers were not healthy within 20 s");
        record.line("all controllers are healthy");
    }

    final Deployment.Controller node(int index) {
        return deployment.controllers.get(index % deployment.controllers.size());
    }

    /** Submits as a user does, with retries for up to 20 s; the answer has to be 201 or 200. */
    final void submit(Map<String, Object> job, long runMs, boolean broken) throws Exception {
        String id = (String) job.get("id");
        fleet.works.put(id, new Fleet.Work(job, runMs, broken));
        long until = Fleet.now() + 20_000;
        for (int i = 0; Fleet.now() < until; i++) {
            Http.Reply reply = Http.call("POST", node(i).client, "/work", job, 5000);
            record.line("user: submit " + id + " " + job.get("gait") + " of " + job.get("furrows") + " to "
                + node(i).label + ": " + reply.status() + " " + reply.body());
            if (reply.status() == 201 || reply.status() == 200) return;
            Fleet.pause(1000);
        }
        throw new CannotRun(id + " was not accepted");
    }

    final Http.Reply poll(Deployment.Controller controller, String id) {
        Http.Reply reply = Http.call("GET", controller.client, "/work/" + id, null, 2000);
        record.line("user: ask " + controller.label + " about " + id + ": "
            + (reply.status() == 0 ? "no answer" : reply.status() + " " + reply.body()));
        return reply;
    }

    final void cancel(String id) throws Exception {
        long until = Fleet.now() + 20_000;
        for (int i = 0; Fleet.now() < until; i++) {
            Http.Reply reply = Http.call("POST", node(i).client, "/work/" + id + "/cancel", Map.of(), 5000);
            record.line("user: cancel " + id + " at " + node(i).label + ": " + reply.status() + " " + reply.body());
            if (reply.status() == 200) return;
            Fleet.pause(1000);
        }
        throw new CannotRun(id + " was not cancelled");
    }

    /** Waits until `count` tasks of the job run. */
    final void awaitRunning(String id, int count, long forMs) throws CannotRun {
        long until = Fleet.now() + forMs;
        while (record.running(id) < count) {
            if (Fleet.now() > until) throw new CannotRun(count + " tasks of " + id + " did not run");
            Fleet.pause(50);
        }
    }

    /**
     * As the platform does: a process that has ended by itself is started again 5 s later. Returns how many ended by
     * themselves since the last call.
     */
    final int restartEnded() throws Exception {
        int ended = 0;
        for (Deployment.Controller controller : deployment.controllers) {
            if (!controller.wanted) {
                if (controller.backAt > 0 && Fleet.now() >= controller.backAt) {
                    controller.backAt = 0;
                    deployment.start(controller);
                }
                continue;
            }
            if (controller.process.isAlive()) continue;
            ended++;
            controller.wanted = false;
            controller.backAt = Fleet.now() + 5000;
            record.line(controller.label + ": ENDED BY ITSELF, exit code " + controller.process.waitFor());
        }
        return ended;
    }

    final void kill(Deployment.Controller controller) throws Exception {
        deployment.kill(controller);
        controller.backAt = Fleet.now() + 5000;
    }

    final boolean waitFor(java.util.function.BooleanSupplier condition, long forMs) {
        long until = Fleet.now() + forMs;
        while (Fleet.now() < until) {
            if (condition.getAsBoolean()) return true;
            Fleet.pause(50);
        }
        return condition.getAsBoolean();
    }

    static long seconds(long ms) {
        return TimeUnit.MILLISECONDS.toSeconds(ms);
    }
}
