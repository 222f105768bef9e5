package pathgw.benchlink;

import java.time.Duration;
import pathgw.config.SettingsReader;
import pathgw.decision.AttemptOutcome;
import pathgw.decision.DecisionEngine;
import pathgw.decision.EndpointState;
import pathgw.decision.Settings;

/**
 * Passes the event records of one instance to its decision engine. Each method reads those fields
 * of one record that follow the instance number.
 */
final class Instance {
  /** Values of {@code kind} in an update record. */
  private static final class UpdateKind {
    static final int DELTA = 0;
    static final int CACHED = 2;
    static final int FAILED = 3;
  }

  /** Bits of {@code stateBits} in an incoming record. */
  private static final class StateBit {
    static final int COST_HINT_VALID = 1;
    static final int CLIENT_RETRY = 2;
    static final int WRITE = 4;
  }

  /** Attempt outcomes by the {@code code} of an outcome record, minus 1. */
  private static final AttemptOutcome[] OUTCOMES_BY_CODE = {
    AttemptOutcome.SERVED,
    AttemptOutcome.ERROR,
    AttemptOutcome.REJECTED,
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.CONNECT_FAILED,
    AttemptOutcome.CONNECTION_LOST,
    AttemptOutcome.CANCELLED,
    AttemptOutcome.NOT_SENT,
    AttemptOutcome.MISS
  };

  /** Endpoint states by the {@code readiness} of an endpoint in an update record. */
  private static final EndpointState[] STATES_BY_READINESS = {
    EndpointState.GONE, EndpointState.READY, EndpointState.DRAINING
  };

  private final DecisionEngine engine;
  private final int requestClasses;
  private final long startNanos;

  private Instance(DecisionEngine engine, int requestClasses, long startNanos) {
    this.engine = engine;
    this.requestClasses = requestClasses;
    this.startNanos = startNanos;
  }

  /**
   * Starts an instance from a {@code power_on} record.
   *
   * @param startNanos the batch clock in nanoseconds, which is the instance's time zero
   * @throws pathgw.config.InvalidInputException if the settings are invalid
   */
  static Instance powerOn(FrameReader fields, long startNanos) {
    long seed = fields.u64("initSeed");
    byte[] setup = fields.bytes("setup", fields.u32("setup"));
    Settings settings = SettingsReader.read(setup);
    DecisionEngine engine = new DecisionEngine(settings, seed);
    return new Instance(engine, settings.requestClasses().size(), startNanos);
  }

  DecisionEngine engine() {
    return engine;
  }

  /** Sets the engine's time to the batch clock. */
  void setClock(long clockNanos) {
    engine.clock(sinceStart(clockNanos));
  }

  private Duration sinceStart(long clockNanos) {
    return Duration.ofNanos(clockNanos - startNanos);
  }

  /** Reads an {@code update} record: entries of the endpoint list, or a failed call for it. */
  void update(FrameReader fields) {
    int kind = fields.u8("kind");
    fields.u64("seqNo");
    long entries = fields.u32("items");
    if (kind > UpdateKind.FAILED) {
      throw fields.invalidValue("kind", kind, " but must be between 0 and " + UpdateKind.FAILED);
    }
    if (kind == UpdateKind.FAILED) {
      engine.endpointCallFailed();
    } else {
      engine.beginEndpointUpdate(kind != UpdateKind.DELTA, kind == UpdateKind.CACHED);
    }
    for (long i = 0; i < entries; i++) {
      endpoint(fields);
    }
    if (kind != UpdateKind.FAILED) {
      engine.endEndpointUpdate();
    }
  }

  private void endpoint(FrameReader fields) {
    int cell = fields.u16("unitGroup");
    long node = fields.u32("node");
    int readiness = fields.u8("readiness");
    fields.f32("nominal");
    long onlineSince = fields.u64("onlineSinceNs");
    int kind = fields.u16("sku");
    int zone = fields.u16("site");
    if (readiness >= STATES_BY_READINESS.length) {
      throw fields.invalidValue(
          "readiness", readiness, " but must be between 0 and " + (STATES_BY_READINESS.length - 1));
    }
    Duration started = onlineSince == 0 ? null : sinceStart(onlineSince);
    engine.updateEndpoint(node, STATES_BY_READINESS[readiness], started, kind, zone, cell);
  }

  /** Reads an {@code incoming} record: a client's request. */
  void incoming(FrameReader fields) {
    long request = fields.u32("req");
    int requestClass = fields.u16("priority");
    if (requestClass >= requestClasses) {
      throw fields.invalidValue(
          "priority", requestClass, " but there are " + requestClasses + " offerings");
    }
    int tenant = fields.u16("project");
    long key = fields.u64("nameKey");
    Duration deadline = sinceStart(fields.u64("dueNs"));
    long effortNanos = fields.u64("effortNs");
    fields.f32("objectSize");
    int bits = fields.u8("stateBits");
    boolean effortKnown = (bits & StateBit.COST_HINT_VALID) != 0;
    Duration work = effortKnown ? Duration.ofNanos(effortNanos) : Duration.ZERO;
    boolean clientRetry = (bits & StateBit.CLIENT_RETRY) != 0;
    boolean write = (bits & StateBit.WRITE) != 0;
    engine.requestArrived(request, requestClass, tenant, key, deadline, work, clientRetry, write);
  }

  /** Reads an {@code under_way} record: the response to an attempt has started. */
  void underWay(FrameReader fields) {
    long request = fields.u32("req");
    int attempt = fields.u8("try");
    fields.u32("node");
    fields.u64("lagNs");
    engine.responseStarted(request, attempt);
  }

  /** Reads an {@code outcome} record: an attempt has ended. */
  void outcome(FrameReader fields) {
    long request = fields.u32("req");
    int attempt = fields.u8("try");
    fields.u32("node");
    int code = fields.u8("code");
    Duration latency = Duration.ofNanos(fields.u64("lagNs"));
    boolean terminal = fields.u8("terminal") != 0;
    fields.u32("remark");
    skipLoadReport(fields);
    if (code < 1 || code > OUTCOMES_BY_CODE.length) {
      throw fields.invalidValue(
          "outcome.code", code, " but must be between 1 and " + OUTCOMES_BY_CODE.length);
    }
    engine.attemptEnded(request, attempt, OUTCOMES_BY_CODE[code - 1], latency, terminal);
  }

  /** Reads a {@code lapsed} record: the client has abandoned its request. */
  void lapsed(FrameReader fields) {
    engine.requestAbandoned(fields.u32("req"));
  }

  /** Reads a {@code timer} record, whose mark is ignored: the engine decides after every event. */
  void timer(FrameReader fields) {
    fields.u64("mark");
  }

  /** Reads a {@code checked} record and ignores it, because the engine sends no health checks. */
  void checked(FrameReader fields) {
    fields.u8("code");
    fields.u64("lagNs");
    fields.u32("node");
    skipLoadReport(fields);
  }

  /** Reads a {@code datagram} record; a body that is not a gossip message is ignored. */
  void datagram(FrameReader fields) {
    fields.u32("src");
    byte[] body = fields.bytes("body", fields.u16("body"));
    if (GossipMessage.hasMessageLength(body)) {
      GossipMessage message = GossipMessage.read(body);
      engine.peerReported(message.node(), message.success());
    }
  }

  private static void skipLoadReport(FrameReader fields) {
    fields.bytes("feedback", fields.u8("feedback") * (long) Float.BYTES);
  }
}
