import java.io.IOException;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The controllers: processes of the deploy file's run command, restarted by the platform when they end. */
final class Controllers {
    final class Controller {
        final String label;
        final String zone;
        final String client;
        /** Where workers reach it; a case may put a proxy there. */
        String forWorkers;
        final int peerPort;
        /** What this controller is told of the outside; a case may put proxies there. */
        String state;
        String cloud;
        final Map<String, String> peers = new LinkedHashMap<>();
        private Path settings;
        private volatile Process process;
        volatile boolean shouldRun;
        /** Ends that the case did not cause. */
        volatile int ownEnds;
        volatile int lastExit;
        volatile double peakMb;

        Controller(String label, String zone) throws IOException {
            this.label = label;
            this.zone = zone;
            client = Web.HOST + ":" + Web.freePort();
            forWorkers = client;
            peerPort = Web.freePort();
        }

        void start() throws IOException {
            settings = folder.resolve(label + ".toml");
            Files.writeString(settings, toml(this));
            List<String> command = new ArrayList<>(runCommand);
            command.add(settings.toString());
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("CASE_LOG", "info"));
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(label + ".log").toFile()));
            process = builder.start();
            shouldRun = true;
            Record.note("%s is started", label);
        }

        void kill() throws InterruptedException {
            shouldRun = false;
            process.destroyForcibly();
            process.waitFor();
            Record.note("%s is killed", label);
        }

        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
            Record.say("%s gets the signal %s", label, name);
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }

        /** The resident memory, from the process's own page. */
        double residentMb() {
            try {
                for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                    if (line.startsWith("VmRSS:")) return Long.parseLong(line.replaceAll("\\D", "")) / 1024.0;
                }
            } catch (IOException e) {
                // It has ended.
            }
            return 0.0;
        }

        /** The value of a metric; NaN if there is no answer. */
        double metric(String name) {
            try {
                java.net.http.HttpResponse<String> response = http.send(
                    java.net.http.HttpRequest.newBuilder(java.net.URI.create("http://" + client + "/metrics"))
                        .timeout(java.time.Duration.ofSeconds(2)).build(),
                    java.net.http.HttpResponse.BodyHandlers.ofString());
                for (String line : response.body().split("\n")) {
                    if (line.startsWith(name + "{")) return Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1));
                }
            } catch (IOException e) {
                // No answer.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return Double.NaN;
        }

        boolean isHealthy() {
            Web.Reply reply = Web.call(http, client, "GET", "/healthz", null, 1000);
            return reply != null && reply.status == 200;
        }
    }

    private final Site site;
    private final Path folder;
    private final List<String> runCommand;
    private final HttpClient http = Web.client();
    final List<Controller> all = new ArrayList<>();

    Controllers(Site site, Path folder) throws IOException {
        this.site = site;
        this.folder = folder;
        String run = Files.readAllLines(Path.of("deploy/service.toml")).stream()
            .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
        runCommand = Arrays.asList(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
        for (int index = 0; index < site.nodeZones.size(); index++) {
            all.add(new Controller("gaul-" + index, site.nodeZones.get(index)));
        }
        for (Controller one : all) {
            for (Controller other : all) {
                if (other != one) one.peers.put(other.label, Web.HOST + ":" + other.peerPort);
            }
        }
        Thread platform = new Thread(this::restartEnded);
        platform.setDaemon(true);
        platform.start();
    }

    List<Worker.Node> nodes() {
        List<Worker.Node> nodes = new ArrayList<>();
        for (Controller controller : all) nodes.add(new Worker.Node(controller.label, controller.forWorkers));
        return nodes;
    }

    private void restartEnded() {
        try {
            while (true) {
                Thread.sleep(100);
                for (Controller controller : all) {
                    if (controller.isAlive()) controller.peakMb = Math.max(controller.peakMb, controller.residentMb());
                    if (!controller.shouldRun || controller.isAlive()) continue;
                    controller.ownEnds++;
                    controller.lastExit = controller.process.exitValue();
                    Record.say("%s has ended by itself with exit code %d", controller.label, controller.lastExit);
                    controller.shouldRun = false;
                    Web.THREADS.execute(() -> {
                        try {
                            Thread.sleep(site.restartMs);
                            if (!ended) controller.start();
                        } catch (IOException | InterruptedException e) {
                            Record.say("%s can't be started: %s", controller.label, e);
                        }
                    });
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private volatile boolean ended;

    void endAll() {
        ended = true;
        for (Controller controller : all) {
            controller.shouldRun = false;
            if (controller.process != null) controller.process.destroyForcibly();
        }
        for (Controller controller : all) {
            try {
                if (controller.process != null) controller.process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** The controller that says that it leads, or null. */
    Controller leader() {
        for (Controller controller : all) {
            if (controller.isAlive() && controller.metric("oxbowlug_leading") == 1.0) return controller;
        }
        return null;
    }

    private String toml(Controller self) {
        StringBuilder out = new StringBuilder();
        out.append("label = \"").append(self.label).append("\"\n");
        out.append("location = \"").append(self.zone).append("\"\n");
        out.append("client_listen = \"").append(self.client).append("\"\n");
        out.append("peer_listen = \"").append(Web.HOST).append(':').append(self.peerPort).append("\"\n");
        for (Controller other : all) {
            if (other == self) continue;
            out.append("[[others]]\nlabel = \"").append(other.label).append("\"\nlocation = \"").append(other.zone)
                .append("\"\naddr = \"").append(self.peers.get(other.label)).append("\"\n");
        }
        out.append("[outside]\ncloud = \"").append(self.cloud).append("\"\nstate = \"").append(self.state)
            .append("\"\n[settings]\nnodes = ").append(all.size()).append("\nzones = [");
        out.append(String.join(", ", site.zones.stream().map(zone -> '"' + zone + '"').toList()));
        out.append("]\nskew_ms = ").append(site.skewMs).append('\n');
        for (Object[] team : site.teams) {
            out.append("[[settings.teams]]\nname = \"").append(team[0]).append("\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = ")
                .append(team[1]).append("\ngpus_max = ").append(team[2]).append('\n');
        }
        for (Object[] wait : site.waits) {
            out.append("[[settings.objectives]]\nkind = \"wait\"\nclass = \"").append(wait[0])
                .append("\"\nwithin_s = ").append(wait[1]).append("\nshare = ").append(wait[2]).append('\n');
        }
        out.append("[settings.workers]\nreport_s = ").append(site.reportS).append("\nlease_s = ").append(site.leaseS)
            .append("\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = ").append(site.cancelS).append('\n');
        out.append("[settings.state]\nrps = ").append(site.stateRps).append("\nwrite_rps = ").append(site.writeRps)
            .append("\nvalue_kb = ").append(site.valueKb).append("\ntxn_ops = ").append(site.txnOps).append('\n');
        out.append("[settings.cloud]\nrps = ").append(site.cloudRps).append("\nlist_lag_s = ").append(site.listLagS)
            .append("\n[settings.limits]\ncore_share = ").append(site.cpuShare).append("\nmem_mb = ")
            .append(site.memoryMb).append("\nmax_sockets = 600\n");
        return out.toString();
    }
}
