package pathgw.client;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import pathgw.algorithm.MemoryBudget;
import pathgw.codec.MalformedCommandException;
import pathgw.codec.MetaCommand;
import pathgw.codec.MetaCommandParser;
import pathgw.codec.MetaResponses;
import pathgw.config.Config;
import pathgw.observability.RequestReceipt;
import pathgw.request.PendingResponse;
import pathgw.request.RequestHandler;

/**
 * Passes the requests of one client on if there is memory for them, and answers all other commands
 * at once.
 */
final class CommandDispatcher implements CommandReader.Handler {
  /** The connection whose commands are dispatched. */
  interface Client {
    /** Whether requests are passed on; if not, they are rejected. */
    boolean isServing();

    /** Adds the response to the command that is being dispatched behind those of earlier ones. */
    PendingResponse addResponse();

    /**
     * What is known of the arrival of a command that is dispatched now.
     *
     * @param waitedForMemory for how long it was not read for want of memory
     */
    RequestReceipt receipt(MetaCommand command, Duration waitedForMemory);

    /** Bytes that the connection kept, or was going to keep, are kept for a request from now on. */
    void passedOn(long bytes);

    /** No further command can be read. */
    void framingLost(String reason);

    /** An internal error has occurred. */
    void handlerFailed(RuntimeException cause);
  }

  /**
   * The memory that a request takes beside the bytes of its command until its last attempt has
   * ended: its state in the decision engine, its attempts, and the timers of both.
   */
  private static final int REQUEST_OVERHEAD_BYTES = 3 * 1024;

  private static final Buffer NO_VALUE = Buffer.buffer();

  private final Client client;
  private final Config config;
  private final RequestHandler requestHandler;
  private final MemoryBudget memory;
  private final MemoryAdmission admission;
  private final ResponseSizeEstimate responseSize;

  CommandDispatcher(Client client, ClientResources resources, MemoryAdmission admission) {
    this.client = client;
    this.admission = admission;
    config = resources.config();
    requestHandler = resources.requestHandler();
    memory = resources.memory();
    responseSize = resources.responseSize();
  }

  private static long memoryNeeded(Buffer line, int valueLength) {
    return (long) REQUEST_OVERHEAD_BYTES + line.length() + valueLength;
  }

  @Override
  public void readinessCheck() {
    client.addResponse().complete(MetaResponses.READY);
  }

  @Override
  public void unknownCommand() {
    client.addResponse().complete(MetaResponses.malformed("unknown command"));
  }

  @Override
  public MemoryAdmission.Decision admit(Buffer line, int valueLength) {
    return client.isServing()
        ? admission.request(memoryNeeded(line, valueLength))
        : MemoryAdmission.Decision.REFUSED;
  }

  @Override
  public void writeDropped() {
    reject(client.addResponse());
  }

  /** Rejects a request of which nothing was sent on; its client may safely send it again. */
  private void reject(PendingResponse response) {
    if (client.isServing()) {
      requestHandler.requestShed();
      response.complete(MetaResponses.rejected(config.settings().maxRetryAfter()));
    } else {
      response.complete(MetaResponses.rejected(Duration.ZERO));
    }
  }

  @Override
  public void read(Buffer line) {
    PendingResponse response = client.addResponse();
    long memoryNeeded = memoryNeeded(line, 0) + responseSize.expectedBytes();
    if (client.isServing() && memory.admits(memoryNeeded)) {
      handle(line, NO_VALUE, response, memoryNeeded, Duration.ZERO);
    } else {
      reject(response);
    }
  }

  @Override
  public void write(Buffer line, Buffer value) {
    PendingResponse response = client.addResponse();
    if (client.isServing()) {
      handle(line, value, response, memoryNeeded(line, value.length()), admission.lastWait());
    } else {
      reject(response);
    }
  }

  private void handle(
      Buffer line,
      Buffer value,
      PendingResponse response,
      long memoryNeeded,
      Duration waitedForMemory) {
    try {
      MetaCommand command = MetaCommandParser.parse(line, value, config);
      client.passedOn(memoryNeeded);
      requestHandler.handle(
          command,
          response,
          client.receipt(command, waitedForMemory),
          () -> memory.release(memoryNeeded));
    } catch (MalformedCommandException e) {
      response.complete(MetaResponses.malformed(e.getMessage()));
    }
  }

  @Override
  public void framingLost(String reason) {
    client.framingLost(reason);
  }

  @Override
  public void handlerFailed(RuntimeException cause) {
    client.handlerFailed(cause);
  }
}
