package pathgw.transport;

/** The implementation of sockets that a transport runs on. */
public enum TransportKind {
  /** The native transport of Linux, which also tells the state of TCP connections. */
  EPOLL("epoll"),
  /** The selector of the Java platform. */
  PORTABLE("portable"),
  /** A transport without sockets. */
  VIRTUAL("virtual");

  private final String label;

  TransportKind(String label) {
    this.label = label;
  }

  /** The name in log lines and counters. */
  public String label() {
    return label;
  }
}
