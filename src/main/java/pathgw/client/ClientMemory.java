package pathgw.client;

import java.time.Duration;
import pathgw.algorithm.MemoryBudget;

/** What one client's connection takes of the memory budget: its input and its unsent responses. */
final class ClientMemory {
  /**
   * A client that has read nothing for this long cannot keep others from the memory that a response
   * takes which has been begun.
   */
  private static final Duration MAX_STALL_WITHIN_RESPONSE = Duration.ofSeconds(1);

  private final MemoryBudget budget;
  private final Runnable closeUnread;
  private final InputHolder input;
  private final ResponseHolder responses;
  private boolean ended;

  /**
   * Creates the account of a connection that keeps nothing.
   *
   * @param closeUnread closes the connection, whose client reads nothing
   */
  ClientMemory(
      MemoryBudget budget, ClientInput input, ResponseQueue responses, Runnable closeUnread) {
    this.budget = budget;
    this.closeUnread = closeUnread;
    this.input = new InputHolder(input);
    this.responses = new ResponseHolder(responses);
  }

  /** The bytes that are kept. */
  long heldBytes() {
    return input.heldBytes() + responses.heldBytes();
  }

  /** Records what is kept now. */
  void update() {
    budget.update(input);
    budget.update(responses);
  }

  /**
   * Records what is kept now after bytes have been passed on.
   *
   * @param bytes the bytes that a request accounts for from now on; negative if the input accounts
   *     for bytes that were added to the budget before
   */
  void passedOn(long bytes) {
    budget.update(input, bytes);
  }

  /** Records that nothing is kept any more. */
  void end() {
    ended = true;
    update();
  }

  /** What has been received and not passed on. */
  private final class InputHolder implements MemoryBudget.Holder {
    private final ClientInput input;

    InputHolder(ClientInput input) {
      this.input = input;
    }

    @Override
    public long heldBytes() {
      return ended ? 0 : input.heldBytes();
    }

    @Override
    public long sheddableBytes() {
      return input.isPaused() ? 0 : input.heldValueBytes();
    }

    @Override
    public Duration lastProgressAt() {
      return input.lastProgressAt();
    }

    /** Nothing of the command has been sent on, and the commands behind it are read. */
    @Override
    public void shed() {
      input.dropValue();
    }
  }

  /** The responses that the network has not accepted. */
  private final class ResponseHolder implements MemoryBudget.Holder {
    private final ResponseQueue responses;

    ResponseHolder(ResponseQueue responses) {
      this.responses = responses;
    }

    @Override
    public long heldBytes() {
      return ended ? 0 : responses.unsentBytes();
    }

    @Override
    public long sheddableBytes() {
      if (ended) {
        return 0;
      }
      long replaceableBytes = responses.replaceableBytes();
      return replaceableBytes == 0 && responses.isWriteStalledFor(MAX_STALL_WITHIN_RESPONSE)
          ? responses.unsentBytes()
          : replaceableBytes;
    }

    @Override
    public Duration lastProgressAt() {
      return responses.lastProgressAt();
    }

    /** The client gets a failure in its turn, or an end within a response. */
    @Override
    public void shed() {
      if (!responses.replaceLast()) {
        ended = true;
        closeUnread.run();
      }
    }
  }
}
