import java.io.File;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Three controllers as processes of the deploy file's run command, with their settings and logs in a folder. */
final class Deployment {
    static final class Controller {
        final String label;
        final String zone;
        final String client;
        final String peer;
        Path settings;
        Path log;
        volatile Process process;
        long backAt;
        boolean wanted;

        Controller(String label, String zone, String client, String peer) {
            this.label = label;
            this.zone = zone;
            this.client = client;
            this.peer = peer;
        }
    }

    final List<Controller> controllers = new ArrayList<>();
    final Path folder;
    final Record record;
    private final List<String> command;

    Deployment(Path repository, Path folder, Record record, List<String> zones, int count) throws Exception {
        this.folder = folder;
        this.record = record;
        String line = Files.readAllLines(repository.resolve("deploy/service.toml")).stream()
            .filter(text -> text.startsWith("run = ")).findFirst().orElseThrow();
        command = List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
        List<String> addresses = freeAddresses(count * 2);
        for (int i = 0; i < count; i++) {
            controllers.add(new Controller("gaul-" + i, zones.get(i % zones.size()), addresses.get(2 * i),
                addresses.get(2 * i + 1)));
        }
    }

    /**
     * Free ports below those that the system gives to outgoing connections, or one of these could take a port before
     * its controller listens. Each process begins its search elsewhere, so that two runs at a time don't meet.
     */
    private static List<String> freeAddresses(int count) {
        List<String> addresses = new ArrayList<>();
        int first = (int) (ProcessHandle.current().pid() % 900) * 20;
        for (int i = 0; addresses.size() < count && i < 18_000; i++) {
            int port = 10_000 + (first + i) % 18_000;
            try (ServerSocket socket = new ServerSocket(port, 1, java.net.InetAddress.getByName("127.0.0.1"))) {
                addresses.add("127.0.0.1:" + socket.getLocalPort());
            } catch (java.io.IOException e) {
                // The port is in use.
            }
        }
        return addresses;
    }

    /** Writes the settings; `shared` is the text of the `[settings]` tables. Peers may be reached through proxies. */
    void write(List<Integer> statePorts, int cloudPort, String shared) throws Exception {
        for (int i = 0; i < controllers.size(); i++) {
            Controller self = controllers.get(i);
            StringBuilder text = new StringBuilder();
            text.append("label = \"").append(self.label).append("\"\nlocation = \"").append(self.zone).append("\"\n");
            text.append("client_listen = \"").append(self.client).append("\"\n");
            text.append("peer_listen = \"").append(self.peer).append("\"\n");
            for (Controller other : controllers) {
                if (other == self) continue;
                text.append("[[others]]\nlabel = \"").append(other.label).append("\"\nlocation = \"");
                text.append(other.zone).append("\"\naddr = \"").append(other.peer).append("\"\n");
            }
            text.append("[outside]\ncloud = \"127.0.0.1:").append(cloudPort).append("\"\n");
            text.append("state = \"127.0.0.1:").append(statePorts.get(i)).append("\"\n").append(shared);
            self.settings = folder.resolve(self.label + ".toml");
            self.log = folder.resolve(self.label + ".log");
            Files.writeString(self.settings, text);
        }
    }

    Map<String, String> clients() {
        Map<String, String> map = new LinkedHashMap<>();
        for (Controller controller : controllers) map.put(controller.label, controller.client);
        return map;
    }

    Controller get(String label) {
        return controllers.stream().filter(c -> c.label.equals(label)).findFirst().orElseThrow();
    }

    void start(Controller controller) throws Exception {
        List<String> words = new ArrayList<>(command);
        words.add(controller.settings.toString());
        ProcessBuilder builder = new ProcessBuilder(words).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(controller.log.toFile()));
        String level = System.getenv("LOG_LEVEL");
        builder.environment().put("LOG_LEVEL", level == null ? "info" : level);
        controller.process = builder.start();
        controller.wanted = true;
        record.line(controller.label + ": started");
    }

    void startAll() throws Exception {
        for (Controller controller : controllers) start(controller);
    }

    void kill(Controller controller) throws Exception {
        controller.wanted = false;
        controller.process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
        record.line(controller.label + ": killed");
    }

    void signal(Controller controller, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, String.valueOf(controller.process.pid())).start().waitFor();
        record.line(controller.label + ": signal " + name);
    }

    boolean healthy(Controller controller) {
        return Http.call("GET", controller.client, "/healthz", null, 1000).status() == 200;
    }

    boolean awaitHealthy(long forMs) {
        long until = Fleet.now() + forMs;
        while (Fleet.now() < until) {
            if (controllers.stream().allMatch(this::healthy)) return true;
            Fleet.pause(200);
        }
        return false;
    }

    void stopAll() {
        for (Controller controller : controllers) {
            controller.wanted = false;
            if (controller.process != null) controller.process.destroyForcibly();
        }
        for (Controller controller : controllers) {
            try {
                if (controller.process != null) controller.process.waitFor(10, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    static Path repository() {
        File here = new File("").getAbsoluteFile();
        return here.toPath();
    }
}
