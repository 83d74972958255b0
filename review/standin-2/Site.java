import java.util.List;
import java.util.Map;

/** The figures of a deployment, from its site file. */
final class Site {
    String name;
    List<String> zones;
    List<String> nodeZones;
    double reportS = 1.0;
    double leaseS;
    double cancelS;
    double stateRps = 250.0;
    double writeRps = 20.0;
    double valueKb = 16.0;
    int txnOps;
    double cloudRps = 3.0;
    double listLagS;
    long restartMs;
    double memoryMb;
    double cpuShare;
    double skewMs;
    /** Name, guaranteed GPUs, most GPUs. */
    List<Object[]> teams;
    /** Wait objectives: class, seconds, share. */
    List<Object[]> waits;
    List<Map<String, Object>> breeds;

    static Site regensburg() {
        Site site = new Site();
        site.name = "kachel-regensburg";
        site.zones = List.of("donau", "regen");
        site.nodeZones = List.of("donau", "regen", "donau");
        site.leaseS = 11.0;
        site.cancelS = 41.0;
        site.txnOps = 12;
        site.listLagS = 10.0;
        site.restartMs = 6000;
        site.memoryMb = 181.0;
        site.cpuShare = 0.34;
        site.skewMs = 5.0;
        site.teams = List.of(new Object[] {"kacheln", 0.0, 0.0}, new Object[] {"sprache", 0.0, 0.0},
            new Object[] {"sender", 0.0, 0.0}, new Object[] {"betrieb", 0.0, 0.0});
        site.waits = List.of(new Object[] {"foehn", 8.0, 0.93}, new Object[] {"gewitter", 3.0, 0.88},
            new Object[] {"vorlauf", 1.0, 0.985});
        site.breeds = List.of(Web.map("label", "ofen-64", "cores", 64.0, "gpus", 8.0, "mem_gb", 256.0,
            "local_gb", 800.0, "pull_gb_per_s", 9.0, "price", 24.01, "low_price", 9.55, "ready_s", 35.0,
            "paddocks", List.of("donau", "regen")));
        return site;
    }

    static Site zagreb() {
        Site site = new Site();
        site.name = "vrtuljak-zagreb";
        site.zones = List.of("sava", "medvednica");
        site.nodeZones = List.of("sava", "medvednica", "sava");
        site.leaseS = 10.0;
        site.cancelS = 30.0;
        site.txnOps = 16;
        site.listLagS = 5.0;
        site.restartMs = 5000;
        site.memoryMb = 153.0;
        site.cpuShare = 0.204;
        site.skewMs = 100.0;
        site.teams = List.of(new Object[] {"tim-slagalice", 64.0, 96.0}, new Object[] {"tim-zagonetke", 96.0, 184.0},
            new Object[] {"tim-podrska", 64.0, 96.0}, new Object[] {"tim-platforma", 128.0, 448.0});
        site.waits = List.of(new Object[] {"zmaj-hint", 40.0, 0.9}, new Object[] {"pomocnik", 8.0, 0.82},
            new Object[] {"pomocnik-naval", 12.0, 0.96});
        site.breeds = List.of(Web.map("label", "kocka-64", "cores", 64.0, "gpus", 8.0, "mem_gb", 256.0,
            "local_gb", 800.0, "pull_gb_per_s", 1.7, "price", 21.19, "low_price", 8.01, "ready_s", 60.0,
            "paddocks", List.of("sava", "medvednica")));
        return site;
    }

    Map<String, Object> breed(String name) {
        return breeds.stream().filter(breed -> breed.get("label").equals(name)).findFirst().orElseThrow();
    }
}
