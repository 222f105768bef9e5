package pathgw.decision;

/**
 * What a proxy has learnt of one node and a later start may go on from: outcomes at a machine that
 * has run through. Paces, gates, rooms, shares and kinds were measured under one shape of
 * deployment and begin anew.
 */
public record NodeSnapshot(double wins, double losses, double doubt, boolean suspected) {
  private static final double MOST = 10;

  /** Whether it can have come from here: beyond these no outcome would outweigh it. */
  public boolean sound() {
    return wins >= 0 && wins <= MOST && losses >= 0 && losses <= MOST && Math.abs(doubt) <= MOST;
  }
}
