package review;

/** One entry of discovery's list. */
record Host(String host, int port, String kind, String health, long bornMs) {
  Host withPort(int newPort) {
    return new Host(host, newPort, kind, health, bornMs);
  }

  String json() {
    return String.format(
        "{\"host\":\"%s\",\"dial\":\"127.0.0.1:%d\",\"site\":\"bole\",\"class\":\"%s\",\"block\":1,"
            + "\"health\":\"%s\",\"share\":1.0,\"born_ms\":%d}",
        host, port, kind, health, bornMs);
  }
}
