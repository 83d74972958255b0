import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.BooleanSupplier;

/** What all cases share: the stand-ins, the controllers, the record, and the end. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Site site;
    final Path folder;
    final Controllers controllers;
    final StateService state;
    final Users users;
    Cloud cloud;
    String stateAddress;

    Case(Site site) throws IOException {
        this.site = site;
        folder = Files.createTempDirectory("oxbowlug-case-");
        controllers = new Controllers(site, folder);
        state = new StateService(site);
        int statePort = Web.freePort();
        Web.serve(statePort, state::handle);
        stateAddress = Web.HOST + ":" + statePort;
        users = new Users(controllers);
    }

    /** Starts the cloud with so many machines that may be rented; each controller has an address of its own there. */
    void startCloud(int left) throws IOException {
        cloud = new Cloud(site, controllers.nodes(), left);
        for (Controllers.Controller controller : controllers.all) {
            int port = Web.freePort();
            Web.serve(port, request -> cloud.handle(controller.label, request));
            controller.cloud = Web.HOST + ":" + port;
            controller.state = stateAddress;
        }
    }

    void startControllers() throws IOException, InterruptedException {
        for (Controllers.Controller controller : controllers.all) controller.start();
        require("all controllers are healthy and one leads", 30_000,
            () -> controllers.all.stream().allMatch(Controllers.Controller::isHealthy) && controllers.leader() != null);
    }

    /** Ends the case as one that could not run unless the condition comes true in time. */
    void require(String what, long timeoutMs, BooleanSupplier condition) throws InterruptedException {
        if (await(timeoutMs, condition)) {
            Record.say("%s", what);
        } else {
            Record.say("COULD NOT RUN: it never came true that %s", what);
            end(COULD_NOT_RUN);
        }
    }

    static boolean await(long timeoutMs, BooleanSupplier condition) throws InterruptedException {
        long until = Record.nowMs() + timeoutMs;
        while (!condition.getAsBoolean()) {
            if (Record.nowMs() > until) return false;
            Thread.sleep(50);
        }
        return true;
    }

    abstract int run() throws Exception;

    private void end(int code) {
        controllers.endAll();
        if (System.getenv("CASE_KEEP") != null) {
            Record.say("logs stay in %s", folder);
        } else {
            try (java.util.stream.Stream<Path> files = Files.list(folder)) {
                for (Path file : files.toList()) Files.delete(file);
                Files.delete(folder);
            } catch (IOException e) {
                Record.say("the folder of the run can't be removed");
            }
        }
        Record.say(code == HELD ? "HELD" : code == BROKEN ? "BROKEN" : "COULD NOT RUN");
        Runtime.getRuntime().halt(code);
    }

    interface Maker {
        Case make() throws IOException;
    }

    /** Runs a case; the first argument is the file of the record. */
    static void main(String[] args, Maker maker) {
        Record.open(Path.of(args[0]));
        Case made;
        try {
            made = maker.make();
        } catch (IOException e) {
            e.printStackTrace();
            Runtime.getRuntime().halt(COULD_NOT_RUN);
            return;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(made.controllers::endAll));
        Thread limit = new Thread(() -> {
            try {
                Thread.sleep(115_000);
                Record.say("COULD NOT RUN: the time is over");
                made.end(COULD_NOT_RUN);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        limit.setDaemon(true);
        limit.start();
        Record.say("site %s, trouble %s", made.site.name, made.trouble);
        int code;
        try {
            code = made.run();
        } catch (Exception e) {
            e.printStackTrace();
            Record.say("COULD NOT RUN: %s", e);
            code = COULD_NOT_RUN;
        }
        made.end(code);
    }
}
