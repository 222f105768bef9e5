package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** The configuration of one proxy of a small deployment, with the settings that the pages name. */
final class Deployment {
  static final String HOST = "127.0.0.1";

  /** What README names where a configuration says nothing. */
  int memoryMb = 128;

  int sockets = 1024;
  String registryMode;
  String offerings;
  int maxHandOffs;
  int drainGraceMs;
  int connectTimeoutMs;
  int connIdleMs;
  double coldFrom;
  int coldMs;
  int tipMultiple;

  /** The list that the proxy had last, as JSON. */
  String known;

  private Deployment() {}

  /** A deployment like addis-tours, with one proxy. */
  static Deployment addisTours() {
    Deployment site = new Deployment();
    site.registryMode = "ask";
    site.offerings = offering("itinerary-read", "free", 750, 1500, 200) + "," + offering("seat-hold", "guarded", 150, 300, 200);
    site.maxHandOffs = 4;
    site.drainGraceMs = 500;
    site.connectTimeoutMs = 75;
    site.connIdleMs = 15_000;
    site.coldFrom = 0.35;
    site.coldMs = 7500;
    site.tipMultiple = 3;
    return site;
  }

  /** A deployment like fes-meknes-sched, with one proxy. */
  static Deployment fesMeknesSched() {
    Deployment site = new Deployment();
    site.registryMode = "push";
    site.offerings =
        offering("view-calendar", "free", 300, 750, 1200)
            + "," + offering("book-slot", "single_shot", 300, 1200, 1200)
            + "," + offering("send-roster", "guarded", 750, 2000, 1200);
    site.maxHandOffs = 6;
    site.drainGraceMs = 2500;
    site.connectTimeoutMs = 120;
    site.connIdleMs = 60_000;
    site.coldFrom = 0.32;
    site.coldMs = 8700;
    site.tipMultiple = 4;
    return site;
  }

  private static String offering(String name, String effect, int goalMs, int limitMs, int keyTtlMs) {
    return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"dedupScope\":\"all\",\"keyTtlNs\":"
        + keyTtlMs + "000000,\"latencyGoalNs\":" + goalMs + "000000,\"outerLimitNs\":" + limitMs
        + "000000,\"earnings\":1.0,\"tardyEarnings\":0.5,\"streamed\":false}";
  }

  String json(int listenPort, int discoveryPort) {
    return "{\"name\":\"n1\",\"listen\":\"" + HOST + ":" + listenPort + "\",\"discovery\":\"" + HOST + ":"
        + discoveryPort + "\",\"seed\":\"8c1f30d27a5be964\",\n\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
        + ",\"sockets\":" + sockets + "},\n\"known\":" + known + ",\n"
        + "\"settings\":{\"instances\":1,\"position\":0,\"tier\":0,\"layers\":[\"cache\"],"
        + "\"workload\":\"cache\",\"zones\":[\"a\"],\"az\":0,\"hostTypes\":[\"std\",\"origin\"],"
        + "\"familyInfo\":{\"mode\":\"aside\",\"originKind\":1,\"ordered\":true},"
        + "\"customers\":[],\"offerings\":[" + offerings + "],"
        + "\"ceilings\":{\"cancel\":true,\"connIdleNs\":" + connIdleMs + "000000,\"connectTimeoutNs\":"
        + connectTimeoutMs + "000000,\"maxHandOffs\":" + maxHandOffs + ",\"maxOpen\":20000,"
        + "\"maxRetryAfterNs\":1500000000,\"maxStreams\":32,\"mayDuplicate\":true,"
        + "\"peers\":false,\"probes\":true,\"retryAfter\":true},"
        + "\"deductions\":{\"connection\":0.0,\"handshake\":0.0},"
        + "\"obligations\":{\"answerSlackNs\":20000000,\"askWithinNs\":10000000000,\"coldFrom\":" + coldFrom
        + ",\"coldNs\":" + coldMs + "000000,\"drainGraceNs\":" + drainGraceMs
        + "000000,\"fallNs\":2000000000,\"tipMultiple\":" + tipMultiple + "},"
        + "\"registryMode\":\"" + registryMode + "\",\"stepNs\":2000000}}\n";
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
      return socket.getLocalPort();
    }
  }
}
