import java.net.http.HttpClient;
import java.util.List;

/** Users, who reach the controllers that run through a load balancer without probes. */
final class Users {
    private final HttpClient client = Web.client();
    private final Controllers controllers;

    Users(Controllers controllers) {
        this.controllers = controllers;
    }

    /** Submits until the job is accepted or 60 s are over. Returns whether it was accepted. */
    boolean submit(Jobs.Job job, List<Controllers.Controller> nodes) throws InterruptedException {
        return repeat("submit", job.id(), nodes, "/work", job.spec);
    }

    boolean submit(Jobs.Job job) throws InterruptedException {
        return submit(job, controllers.all);
    }

    boolean cancel(String id, List<Controllers.Controller> nodes) throws InterruptedException {
        return repeat("cancel", id, nodes, "/work/" + id + "/cancel", Web.map());
    }

    private boolean repeat(String what, String id, List<Controllers.Controller> nodes, String path,
        java.util.Map<String, Object> body) throws InterruptedException {
        long until = Record.nowMs() + 60_000;
        for (int attempt = 0; Record.nowMs() < until; attempt++) {
            Controllers.Controller node = nodes.get(attempt % nodes.size());
            Web.Reply reply = Web.call(client, node.client, "POST", path, body, 5000);
            Record.note("%s %s at %s: %s", what, id, node.label,
                reply == null ? "no answer" : reply.status + " " + reply.body);
            if (reply != null && (reply.status == 200 || reply.status == 201)) return true;
            if (reply != null && (reply.status == 400 || reply.status == 422)) return false;
            Thread.sleep(1000);
        }
        return false;
    }

    /** The state of a job, or the status or null if it isn't told. */
    Web.Reply poll(String id, Controllers.Controller node) {
        Web.Reply reply = Web.call(client, node.client, "GET", "/work/" + id, null, 2000);
        Record.note("poll %s at %s: %s", id, node.label, reply == null ? "no answer" : reply.status + " " + reply.body);
        return reply;
    }
}
