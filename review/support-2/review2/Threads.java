package review2;

/** Daemon threads, so that a case ends with its main thread. */
final class Threads {
  private Threads() {}

  static Thread start(Runnable task) {
    Thread thread = new Thread(null, task, "stand-in", 256 * 1024);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
