package pathgw.client;

import java.time.Duration;
import pathgw.algorithm.MemoryBudget;

/** What one client's connection takes of the memory budget: its input and its unsent responses. */
final class ClientMemory implements MemoryBudget.Holder {
  private final MemoryBudget budget;
  private final ClientInput input;
  private final ResponseQueue responses;
  private boolean ended;

  ClientMemory(MemoryBudget budget, ClientInput input, ResponseQueue responses) {
    this.budget = budget;
    this.input = input;
    this.responses = responses;
  }

  /** Records what is kept now. */
  void update() {
    budget.update(this);
  }

  /**
   * Records what is kept now after bytes have been passed on.
   *
   * @param bytes the bytes that a request accounts for from now on; negative if the input accounts
   *     for bytes that were added to the budget before
   */
  void passedOn(long bytes) {
    budget.update(this, bytes);
  }

  /** Records that nothing is kept any more. */
  void end() {
    ended = true;
    update();
  }

  @Override
  public long heldBytes() {
    return ended ? 0 : input.heldBytes() + responses.unsentBytes();
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
