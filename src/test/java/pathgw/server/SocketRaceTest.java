package pathgw.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import pathgw.server.SocketFixture.Peer;
import pathgw.transport.Connection;
import pathgw.transport.VertxTransport;

/**
 * What comes in the very moment in which something else is done, on real sockets, the crossing
 * forced.
 */
@Timeout(30)
class SocketRaceTest {
  private static final String ORIGIN = "HTTP/1.1 200 OK\r\n";

  // Clients that have gone.

  /** Both lie at the machine together: the client has gone for as long as the loop stood still. */
  @Test
  void ofAFloodWithACloseBehindItNothingIsSentOn() throws Exception {
    try (SocketFixture world = new SocketFixture().knows()) {
      // A connection that rests: what is sent on goes out at once.
      Peer first = world.client();
      String id = world.id();
      Peer at = world.carries(first, id);
      at.sends(SocketFixture.value(id));
      first.line();
      Thread.sleep(20);
      world.held(
          150,
          () -> {
            Peer client = world.client();
            for (int n = 0; n < 40; n++) {
              client.sends(SocketFixture.read(world.id()));
            }
            client.socket.close();
          });
      world.eventually("all have gone", () -> world.proxy.held().requests() == 0);
      first.sends(SocketFixture.read("end"));
      Peer other = world.node.nextNow();
      String line = at.line();
      assertTrue((line.isEmpty() && other != null) || line.contains("Oend"), line);
    }
  }

  /** Sixteen are owed and no more is read: what is out for that client must end all the same. */
  @Test
  void aCloseIsSeenWhileNoMoreIsReadFromAClient() throws Exception {
    try (SocketFixture world = new SocketFixture().knows()) {
      Peer client = world.client();
      for (int n = 0; n < 100; n++) {
        client.sends(SocketFixture.read(world.id()));
      }
      List<Peer> out = new ArrayList<>();
      for (int n = 0; n < 4; n++) {
        out.add(world.node.next());
      }
      client.socket.close();
      for (Peer at : out) {
        assertTrue(at.rest().startsWith("mg "), "given up as soon as the client had gone");
      }
      world.eventually(
          "nothing is held for it",
          () -> world.proxy.held().requests() == 0 && world.proxy.held().clients() == 0);
    }
  }

  @Test
  void aClientThatEndsItsSideOnlyHasGoneToo() throws Exception {
    try (SocketFixture world = new SocketFixture().knows()) {
      Peer client = world.client();
      Peer at = world.carries(client, world.id());
      client.socket.shutdownOutput();
      assertEquals("", at.rest());
      world.eventually("nothing is held for it", () -> world.proxy.held().requests() == 0);
    }
  }

  @Test
  void aConnectionThatComesUpAfterItsClientHasGoneCarriesNothing() throws Exception {
    SocketFixture.LateDials[] late = {null};
    try (SocketFixture world =
        new SocketFixture(
                outside -> late[0] = new SocketFixture.LateDials(outside),
                text -> text.replace("\"cancel\": true", "\"cancel\": false"))
            .knows()) {
      late[0].port = world.node.port();
      Peer client = world.client();
      client.sends(SocketFixture.read(world.id()));
      Runnable dial = late[0].waiting.poll(SocketFixture.PATIENCE_MS, TimeUnit.MILLISECONDS);
      client.socket.close();
      world.eventually("the client has gone", () -> world.proxy.held().clients() == 0);
      world.loop.runOnContext(now -> dial.run());
      Peer at = world.node.next();
      at.socket.setSoTimeout(200);
      try {
        assertEquals("", at.line(), "an attempt began for a client that had gone");
      } catch (java.net.SocketTimeoutException nothing) {
        // As it should be: it stands idle.
      }
    }
  }

  // Ends over unread bytes.

  /**
   * At the stop an answer goes out while the next command lies unread: it must reach its client
   * whole.
   */
  @Test
  void theLastAnswerIsNotTakenAlongByAReset() throws Exception {
    try (SocketFixture world = new SocketFixture().knows()) {
      Peer client = world.client();
      String id = world.id();
      Peer at = world.carries(client, id);
      Future<Void> stopped = world.stop();
      Thread.sleep(600);
      world.held(
          5,
          () -> {
            at.sends(SocketFixture.value(id));
            client.sends(SocketFixture.read(world.id()));
          });
      String told = client.rest();
      assertTrue(
          told.equals(SocketFixture.value(id))
              || told.equals(SocketFixture.value(id) + "SERVER_ERROR busy\r\n"),
          told);
      client.socket.close();
      SocketFixture.done(stopped);
    }
  }

  /**
   * Read while an answer is owed it counts as taken, whatever ends the connection behind that
   * answer.
   */
  @Test
  void aCommandReadBeforeTheEndIsAnswered() throws Exception {
    try (SocketFixture world = new SocketFixture().knows()) {
      Peer client = world.client();
      String id = world.id();
      Peer at = world.carries(client, id);
      Future<Void> stopped = world.stop();
      Thread.sleep(600);
      client.sends(SocketFixture.read(world.id()));
      Thread.sleep(100);
      at.sends(SocketFixture.value(id));
      assertEquals(SocketFixture.value(id) + "SERVER_ERROR busy\r\n", client.rest());
      client.socket.close();
      SocketFixture.done(stopped);
    }
  }

  /**
   * It comes while the proxy has told the client that it ends: resent by the client, never sent on.
   */
  @Test
  void aCommandThatCrossesTheEndIsNotSentOn() throws Exception {
    try (SocketFixture world = new SocketFixture().knows()) {
      Peer client = world.client();
      client.sends("mn\r\n");
      assertEquals("MN\r\n", client.line());
      Future<Void> stopped = world.stop();
      assertEquals("", client.rest(), "an end, not a reset");
      client.sends(SocketFixture.read(world.id()));
      SocketFixture.done(stopped);
      assertNull(world.node.nextNow());
    }
  }

  @Test
  void whoComesAfterTheStopIsToldSo() throws Exception {
    try (SocketFixture world = new SocketFixture().knows()) {
      Peer client = world.client();
      String id = world.id();
      Peer at = world.carries(client, id);
      Future<Void> stopped = world.stop();
      Thread.sleep(600);
      Peer late = world.client();
      late.sends(SocketFixture.read(world.id()));
      assertEquals("SERVER_ERROR busy\r\n", late.rest());
      late.socket.close();
      at.sends(SocketFixture.value(id));
      assertEquals(SocketFixture.value(id), client.rest());
      client.socket.close();
      SocketFixture.done(stopped);
    }
  }

  // Attempts given up.

  /**
   * A write that never was whole may be sent elsewhere: so the rest of it must not go out any more.
   */
  @Test
  void ofWhatIsClosedHalfWrittenTheRestNeverGoesOut() throws Exception {
    try (SocketFixture.Door door = new SocketFixture.Door(peer -> {});
        SocketFixture world = new SocketFixture()) {
      int size = 32 << 20;
      VertxTransport outside = new VertxTransport(world.vertx);
      io.vertx.core.Promise<Connection.CloseReason> over = io.vertx.core.Promise.promise();
      world.loop.runOnContext(
          now ->
              outside
                  .dial(
                      new pathgw.config.Address("127.0.0.1", door.port()),
                      java.time.Duration.ofSeconds(2))
                  .onSuccess(
                      connection -> {
                        connection.onClose(over::complete);
                        connection.write(io.vertx.core.buffer.Buffer.buffer(new byte[size]));
                        connection.close();
                      }));
      Peer peer = door.next();
      // Not read before: a peer that reads as fast as this side writes could have had it all in
      // time.
      SocketFixture.done(over.future());
      int got = 0;
      byte[] some = new byte[1 << 16];
      try {
        int n;
        while ((n = peer.socket.getInputStream().read(some)) >= 0) {
          got += n;
        }
      } catch (SocketException reset) {
        // As good as an end.
      }
      assertTrue(got < size, got + " of " + size);
    }
  }

  /** One that reads nothing must not keep its place for good: a close does not wait for it. */
  @Test
  void aConnectionIsClosedThoughItsPeerReadsNothing() throws Exception {
    try (SocketFixture.Door door = new SocketFixture.Door(peer -> {});
        SocketFixture world = new SocketFixture()) {
      VertxTransport outside = new VertxTransport(world.vertx);
      io.vertx.core.Promise<Connection.CloseReason> over = io.vertx.core.Promise.promise();
      world.loop.runOnContext(
          now ->
              outside
                  .dial(
                      new pathgw.config.Address("127.0.0.1", door.port()),
                      java.time.Duration.ofSeconds(2))
                  .onSuccess(
                      connection -> {
                        connection.onClose(over::complete);
                        connection.write(io.vertx.core.buffer.Buffer.buffer(new byte[32 << 20]));
                        connection.close();
                      }));
      door.next();
      assertEquals(Connection.CloseReason.BROKEN, SocketFixture.done(over.future()));
    }
  }

  // Answers that are cut, and that come late.

  /** The client misses at the node and is given to the origin. */
  private static Peer atOrigin(SocketFixture world, Peer client, String id) throws Exception {
    Peer at = world.carries(client, id);
    at.sends("EN O" + id + "\r\n");
    Peer origin = world.origin.next();
    while (!origin.line().equals("\r\n")) {
      // The head.
    }
    return origin;
  }

  @Test
  void anAnswerWithoutLengthThatIsResetReachesNobody() throws Exception {
    try (SocketFixture world = new SocketFixture().knows()) {
      Peer client = world.client();
      Peer origin = atOrigin(world, client, world.id());
      world.held(
          0,
          () -> {
            origin.sends(ORIGIN + "\r\nhalf of wh");
            origin.resets();
          });
      Peer again = world.origin.next();
      while (!again.line().equals("\r\n")) {
        // The head.
      }
      again.sends(ORIGIN + "\r\nwhole");
      again.socket.close();
      assertTrue(client.line().startsWith("VA 5 "));
      assertEquals("whole\r\n", client.line());
    }
  }

  /** The second copy is on its way when the connection is wanted for the next command. */
  @Test
  void aSecondAnswerOfTheOriginDoesNotMeetTheNextCommand() throws Exception {
    try (SocketFixture world = new SocketFixture().knows()) {
      Peer client = world.client();
      Peer origin = atOrigin(world, client, world.id());
      origin.sends(ORIGIN + "Content-Length: 3\r\n\r\none");
      assertTrue(client.line().startsWith("VA 3 "));
      assertEquals("one\r\n", client.line());
      Thread.sleep(5);
      String next = world.id();
      Peer other = world.client();
      other.sends(SocketFixture.write(next));
      Peer second = world.origin.next();
      while (!second.line().equals("\r\n")) {
        // The head.
      }
      origin.sends(ORIGIN + "Content-Length: 3\r\n\r\none");
      second.sends(ORIGIN + "Content-Length: 3\r\n\r\ntwo");
      assertEquals("HD O" + next + " ctwo\r\n", other.line());
    }
  }

  @Test
  void halfALineAndACloseAnswersNothing() throws Exception {
    try (SocketFixture world = new SocketFixture().knows()) {
      Peer client = world.client();
      String id = world.id();
      Peer at = world.carries(client, id);
      world.held(
          0,
          () -> {
            at.sends("VA 2 O" + id + "\r\nh");
            at.socket.close();
          });
      Peer again = world.node.nextNow();
      // One node: it goes on to nowhere, or there again; in no case to the client.
      String told = client.line();
      assertFalse(told.startsWith("VA"), told + (again == null ? "" : ", sent again"));
    }
  }

  // What attempts tell.

  /** The time that an attempt at the origin tells, from its head. */
  private static long toldTime(Peer origin) throws Exception {
    long told = -1;
    for (String line = origin.line(); !line.equals("\r\n"); line = origin.line()) {
      told =
          line.startsWith("X-Labels: ")
              ? Long.parseLong(line.trim().replaceFirst(".*[:,]d=(\\d+).*", "$1"))
              : told;
    }
    return told;
  }

  @Test
  void aFetchAfterALateMissTellsTheOriginTheTimeThatIsLeft() throws Exception {
    try (SocketFixture world = new SocketFixture().knows()) {
      Peer client = world.client();
      String id = world.id();
      Peer at = world.carries(client, id);
      Thread.sleep(200);
      at.sends("EN O" + id + "\r\n");
      long told = toldTime(world.origin.next());
      assertTrue(told > 0 && told <= 1400 - 200, "told " + told + " of 1400 ms, 200 ms later");
    }
  }

  @Test
  void aWriteWhoseConnectionComesUpLateTellsTheOriginTheTimeThatIsLeft() throws Exception {
    SocketFixture.LateDials[] late = {null};
    try (SocketFixture world =
        new SocketFixture(outside -> late[0] = new SocketFixture.LateDials(outside), text -> text)
            .knows()) {
      late[0].port = world.origin.port();
      world.client().sends(SocketFixture.write(world.id()));
      Runnable dial = late[0].waiting.poll(SocketFixture.PATIENCE_MS, TimeUnit.MILLISECONDS);
      Thread.sleep(100);
      world.loop.runOnContext(now -> dial.run());
      long told = toldTime(world.origin.next());
      assertTrue(told > 0 && told <= 290 - 100, "told " + told + " of 290 ms, 100 ms later");
    }
  }
}
