package review2;

import java.nio.file.Files;
import java.nio.file.Path;

/** Runs one case: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
interface Case {
  int HELD = 0;
  int BROKEN = 1;
  int NOT_RUN = 2;

  /**
   * Plays the case.
   *
   * @param folder an empty temporary folder
   * @param trouble whether the disruption takes place
   * @return the exit status
   */
  int play(Path folder, Record record, boolean trouble) throws Exception;

  /**
   * Plays a case and exits.
   *
   * @param args the folder of the case, in which record.txt is written
   */
  static void run(String[] args, Case played) throws Exception {
    Record record = new Record(Path.of(args[0]));
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    record.line("trouble: %s", trouble);
    Path folder = Files.createTempDirectory("review2-");
    folder.toFile().deleteOnExit();
    int status;
    try {
      status = played.play(folder, record, trouble);
    } catch (Exception e) {
      record.say("the case could not run: %s", e);
      status = NOT_RUN;
    }
    record.say("%s", status == HELD ? "HELD" : status == BROKEN ? "BROKEN" : "NOT RUN");
    System.exit(status);
  }

  /** Starts a proxy and waits until it serves; returns null if it does not. */
  static Proxy serve(Path folder, Deployment deployment, Discovery discovery, Record record) throws Exception {
    deployment.known = discovery.wholeList();
    Proxy proxy = new Proxy(folder, deployment, discovery.port, record);
    if (proxy.awaitReady()) {
      // The proxy has received its list from discovery and the first seconds are over.
      Thread.sleep(1000);
      return proxy;
    }
    proxy.recordLog(20);
    record.say("the proxy does not serve");
    return null;
  }
}
