package pathgw.client;

import java.util.function.IntSupplier;
import pathgw.algorithm.MemoryBudget;
import pathgw.config.Config;
import pathgw.observability.RateLimitedLog;
import pathgw.request.RequestHandler;
import pathgw.transport.EventLoopTimers;

/**
 * What all client connections of a proxy share.
 *
 * @param config names the request classes and tenants
 * @param timers the event loop's timers
 * @param requestHandler handles each request
 * @param limitedLog receives warnings about malformed input
 * @param memory bounds the bytes that are held for all clients
 * @param maxUnsentBytes supplies how many bytes the transport may hold unsent for each client
 * @param responseSize estimates the memory that the response to a read will take
 */
public record ClientResources(
    Config config,
    EventLoopTimers timers,
    RequestHandler requestHandler,
    RateLimitedLog limitedLog,
    MemoryBudget memory,
    IntSupplier maxUnsentBytes,
    ResponseSizeEstimate responseSize) {
  /** Creates the resources of a proxy that has sent no response yet. */
  public ClientResources(
      Config config,
      EventLoopTimers timers,
      RequestHandler requestHandler,
      RateLimitedLog limitedLog,
      MemoryBudget memory,
      IntSupplier maxUnsentBytes) {
    this(
        config,
        timers,
        requestHandler,
        limitedLog,
        memory,
        maxUnsentBytes,
        new ResponseSizeEstimate());
  }
}
