import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Answers are lost in two spells of a quiet hour: are the same lookups served afterwards? */
final class HotCase {
  private static final int LOOKUP_INTERVAL_MILLIS = 100;
  private static final long BEFORE_MILLIS = 6_000;
  private static final long LOST_MILLIS = 4_000;
  private static final long PAUSE_MILLIS = 4_000;
  private static final int SPELLS = 2;
  private static final long CONTACT_MILLIS = 3_000;
  private static final long AFTER_MILLIS = 30_000;
  private static final int LOSING_BACKENDS = 3;
  private static final double LOST_SHARE = 0.4;

  public static void main(String[] args) throws Exception {
    Bed.limit(TimeUnit.SECONDS.toMillis(115));
    Bed bed = new Bed(Path.of(args[0]));
    bed.configure(
        5,
        List.of("lager", "rezepte"),
        new String[] {"/lager/", "idempotent", "6000", "lager"},
        new String[] {"/rezepte/", "idempotent", "5000", "rezepte"});
    bed.addNode("sidecar-graz-1", "graz", "lager", 104);
    bed.addNode("sidecar-leoben-1", "leoben", "lager", 104);
    bed.addNode("sidecar-weiz-1", "weiz", "lager", 104);
    bed.addNode("sidecar-graz-2", "graz", "lager", 104);
    bed.addNode("sidecar-leoben-2", "leoben", "lager", 104);
    bed.addNode("sidecar-weiz-2", "weiz", "rezepte", 33);
    bed.addNode("sidecar-graz-3", "graz", "rezepte", 33);
    if (!bed.startAll("/lager/", "/rezepte/")) {
      System.out.println("the nodes did not serve in time");
      System.exit(2);
    }
    long begin = System.currentTimeMillis();
    long lostFrom = begin + BEFORE_MILLIS;
    long lostUntil = lostFrom + SPELLS * (LOST_MILLIS + PAUSE_MILLIS) - PAUSE_MILLIS;
    long end = lostUntil + CONTACT_MILLIS + AFTER_MILLIS;
    List<Thread> requests = new ArrayList<>();
    boolean losing = false;
    for (int i = 0; System.currentTimeMillis() < end; i++) {
      long now = System.currentTimeMillis();
      boolean lose = Bed.trouble() && now < lostUntil && isInSpell(now - lostFrom);
      if (lose != losing) {
        losing = lose;
        for (Node node : bed.nodes.subList(0, LOSING_BACKENDS)) {
          node.backend.loseByReset = lose ? LOST_SHARE : 0;
        }
        bed.note(lose ? "three of five lager backends lose answers" : "all answers arrive again");
      }
      Node node = bed.nodes.get(i % bed.nodes.size());
      String target = i % 2 == 0 ? "/lager/levels" : "/rezepte/card-" + i % 7;
      requests.add(Bed.thread(() -> ask(bed, node, target)));
      Bed.sleep(LOOKUP_INTERVAL_MILLIS / 2);
    }
    for (Thread request : requests) {
      request.join(10_000);
    }
    int[] asked = new int[2];
    int[] served = new int[2];
    for (Client.Call call : bed.calls.values()) {
      if (call.sentMillis >= lostUntil + CONTACT_MILLIS) {
        int kind = call.target.startsWith("/lager/") ? 0 : 1;
        asked[kind]++;
        served[kind] += call.status == 200 ? 1 : 0;
      }
    }
    double lookups = (double) served[0] / asked[0];
    double all = (double) (served[0] + served[1]) / (asked[0] + asked[1]);
    bed.finish(
        lookups < 0.25 * all,
        "from 3 s after the last lost answer on, %d of %d lookups and %d of %d other requests were served"
            .formatted(served[0], asked[0], served[1], asked[1]));
  }

  private static boolean isInSpell(long sinceFirstMillis) {
    return sinceFirstMillis >= 0
        && sinceFirstMillis % (LOST_MILLIS + PAUSE_MILLIS) < LOST_MILLIS;
  }

  /** Sends a request and, as the clients of the pages do, one retry. */
  private static void ask(Bed bed, Node node, String target) {
    try (Client client = new Client(bed, node)) {
      Client.Call call = client.call("GET", target, new byte[0], 6_000, true);
      if (call.status != 200) {
        Bed.sleep(300);
        client.call("GET", target, new byte[0], 5_000, true);
      }
    }
  }
}
