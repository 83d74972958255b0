import java.io.IOException;
import java.util.List;
import java.util.Map;

/**
 * A task was stopped on one machine to make room, and runs on another one. Then the leader ends, and a request of it that was
 * carried out long before is repeated by the network.
 */
final class Repeat extends Case {
    private Repeat() throws IOException {
        super(Site.regensburg());
    }

    public static void main(String[] args) {
        Case.main(args, Repeat::new);
    }

    @Override
    int run() throws Exception {
        startCloud(0);
        for (int index = 0; index < 2; index++) cloud.addRunning("ofen-64", site.zones.get(index), false);
        startControllers();
        Jobs.Job early = Jobs.array("run-000010", "kachel-text", "kacheln", 8, 400.0);
        if (!users.submit(early)) return COULD_NOT_RUN;
        require("all tasks of the first array run", 20_000, () -> Jobs.machinesOf(early.id()).size() == 8);
        Thread.sleep(3000);
        Jobs.Job late = Jobs.array("run-000011", "kachel-text", "kacheln", 8, 400.0);
        if (!users.submit(late)) return COULD_NOT_RUN;
        require("all tasks of the second array run, and both machines are full", 20_000,
            () -> Jobs.machinesOf(late.id()).size() == 8
                && cloud.workers().stream().allMatch(worker -> worker.freeGpus() == 0));
        Jobs.Job urgent = Jobs.service("run-000012", "gewitter", "sender", "urgent", 1);
        if (!users.submit(urgent)) return COULD_NOT_RUN;
        require("the urgent replica runs in the place of a task", 20_000,
            () -> Jobs.machinesOf(urgent.id()).size() == 1
                && Jobs.machinesOf(early.id()).size() + Jobs.machinesOf(late.id()).size() == 15);
        String machine = Jobs.machinesOf(urgent.id()).get(0);
        Worker worker = cloud.workers().stream().filter(one -> one.id.equals(machine)).findFirst().orElseThrow();
        String stopped = null;
        Jobs.Job other = null;
        for (Jobs.Job job : List.of(early, late)) {
            for (int index = 0; index < 8; index++) {
                if (!Jobs.machinesOfTask(job.id() + "/" + index).isEmpty()) continue;
                stopped = job.id() + "/" + index;
                other = job == early ? late : early;
            }
        }
        if (stopped == null) return COULD_NOT_RUN;
        String task = stopped;
        long first = firstAttempt(worker, task);
        Record.say("%s#%d was stopped on %s", task, first, machine);
        if (!users.cancel(other.id(), controllers.all)) return COULD_NOT_RUN;
        require("the task runs again, on the other machine", 40_000,
            () -> Jobs.machinesOfTask(task).size() == 1 && !Jobs.machinesOfTask(task).contains(machine));
        require("its first attempt was removed from the reports of its first machine", 20_000,
            () -> !worker.knows(task, first));
        if (!users.cancel(urgent.id(), controllers.all)) return COULD_NOT_RUN;
        require("the urgent replica has ended", 10_000, () -> Jobs.machinesOf(urgent.id()).isEmpty());
        Thread.sleep(2000);
        if (!Jobs.TWICE.isEmpty()) return BROKEN;
        Controllers.Controller leader = controllers.leader();
        if (leader == null) return COULD_NOT_RUN;
        if (trouble) {
            Record.say("%s, which leads, ends, and is started again within a fraction of a second", leader.label);
            leader.kill();
            Thread.sleep(300);
            leader.start();
            Thread.sleep(700);
            Map<String, Object> request = worker.carriedOut.stream().filter(one -> runs(one, task, first)).findFirst()
                .orElse(null);
            if (request == null) {
                Record.say("COULD NOT RUN: the first start was not sent directly");
                return COULD_NOT_RUN;
            }
            Web.Reply reply = Web.call(Web.client(), worker.endpoint, "POST", "/do", request, 4000);
            Record.say("a request of it that was carried out is repeated: %s; the answer: %s", request,
                reply == null ? "none" : reply.status);
        }
        Thread.sleep(10_000);
        Record.say("tasks that started on a machine while they were on another one: %s", Jobs.TWICE);
        return Jobs.TWICE.isEmpty() ? HELD : BROKEN;
    }

    private static long firstAttempt(Worker worker, String task) {
        for (Map<String, Object> request : worker.carriedOut) {
            for (Map<String, Object> call : calls(request)) {
                if (call.get("furrow").equals(task)) return ((Number) call.get("try")).longValue();
            }
        }
        return -1;
    }

    private static boolean runs(Map<String, Object> request, String task, long attempt) {
        return calls(request).stream().anyMatch(call -> call.get("call").equals("run") && call.get("furrow").equals(task)
            && ((Number) call.get("try")).longValue() == attempt);
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> calls(Map<String, Object> request) {
        return (List<Map<String, Object>>) request.getOrDefault("calls", List.of());
    }
}
