package pathgw.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pathgw.codec.UpstreamCodec.FollowingBytes;
import pathgw.codec.UpstreamCodec.Reply;
import pathgw.config.Address;
import pathgw.config.Config;
import pathgw.config.TestConfig;

/**
 * Feeds replies that were changed, or that follow parts of other replies. Each must be served as
 * the value that was made for the request, with a canonical head, or not at all.
 */
class SplicedReplyTest {
  private static final int SEEDED_CHANGES = Integer.getInteger("spliced.inputs", 5000);
  private static final String ID = "7f00a1";
  private static final String OTHER_ID = "7f00b2";
  private static final Config CONFIG =
      Config.read(TestConfig.json().getBytes(StandardCharsets.UTF_8));
  private static final String SERVED_VALUE = "VA 2 O" + ID + "\r\nhi\r\n";
  private static final String SERVED_RECEIPT = "HD O" + ID + " cok\r\n";

  /** One protocol: its codec, and every form of reply, with ID in place of the request's id. */
  private record Protocol(Supplier<UpstreamCodec> codec, List<String> replies) {}

  private static final Protocol META =
      new Protocol(
          MetaCodec::new,
          List.of(
              "VA 2 OID\r\nhi\r\n",
              "VA 2 OID h1\r\nhi\r\n",
              "VA 2 h0 Z OID\r\nhi\r\n",
              "HD OID cok\r\n",
              "EN OID\r\n",
              "EN OID h0 Z\r\n",
              "SERVER_ERROR busy\r\n",
              "SERVER_ERROR failed\r\n"));

  private static final Protocol HTTP =
      new Protocol(
          () -> new HttpOriginCodec(new Address("127.0.0.1", 1)),
          List.of(
              "HTTP/1.1 200 OK\r\nX-Pressure: a=0.5\r\nX-Txn: ID\r\nContent-Length: 2\r\n\r\nhi",
              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Txn: ID\r\n\r\nhi",
              "HTTP/1.1 200 OK\r\nX-Txn: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
              "HTTP/1.1 500 no\r\nX-Txn: ID\r\nContent-Length: 0\r\n\r\n",
              "HTTP/1.1 503 no\r\nX-Turned-Away: 1\r\nX-Txn: ID\r\nContent-Length: 0\r\n\r\n"));

  private static Reply decode(Protocol protocol, boolean write, String bytes) throws Exception {
    String line = write ? "ms k 1 O" + ID + " Pc=write,k=1" : "mg k v O" + ID + " Pc=read";
    MetaCommand command =
        MetaCommandParser.parse(Buffer.buffer(line), Buffer.buffer(write ? "v" : ""), CONFIG);
    UpstreamCodec codec = protocol.codec.get();
    codec.startRequest(command, Duration.ofMillis(100));
    Reply reply = codec.decode(Buffer.buffer(bytes.getBytes(StandardCharsets.ISO_8859_1)));
    boolean cutOff =
        reply != null
            && reply.ending() != ReplyEnding.DELIMITER
            && codec.followingBytes() != FollowingBytes.NONE
            && codec.followingBytes() != FollowingBytes.COPY;
    return cutOff ? Reply.MALFORMED : reply;
  }

  private static void assertServedWholeOrNotAtAll(Protocol protocol, String bytes)
      throws Exception {
    for (boolean write : new boolean[] {false, true}) {
      Reply reply = decode(protocol, write, bytes);
      if (reply != null && reply.status() == ReplyStatus.ANSWERED) {
        String head = write ? "HD O" + ID + " c[!-~]+\r\n" : "VA \\d+ O" + ID + "\r\n";
        String served = reply.payload().toString(StandardCharsets.ISO_8859_1);
        String pattern = write ? head : head + "(?s).*\r\n";
        assertTrue(served.matches(pattern), () -> bytes + " served as " + served);
      }
    }
  }

  private static String own(String form) {
    return form.replace("ID", ID);
  }

  private static String foreign(String form) {
    return form.replace("ID", OTHER_ID);
  }

  @Test
  void everyFormOfTheProtocolIsAccepted() throws Exception {
    for (String form : META.replies.subList(0, 3)) {
      assertEquals(SERVED_VALUE, decode(META, false, own(form)).payload().toString(), form);
      assertEquals(Reply.MALFORMED, decode(META, true, own(form)));
      assertEquals(Reply.MALFORMED, decode(META, false, foreign(form)));
    }
    assertEquals(SERVED_RECEIPT, decode(META, true, own("HD OID cok\r\n")).payload().toString());
    assertEquals(ReplyStatus.MISS, decode(META, false, own("EN OID h0 Z\r\n")).status());
    assertEquals(ReplyStatus.REJECTED, decode(META, false, "SERVER_ERROR busy\r\n").status());
    assertEquals(ReplyStatus.REJECTED, decode(META, false, "SERVER_ERROR busy 20\r\n").status());
    assertEquals(ReplyStatus.FAILED, decode(META, false, "SERVER_ERROR busy now\r\n").status());
    for (String form : HTTP.replies.subList(0, 3)) {
      assertEquals(SERVED_VALUE, decode(HTTP, false, own(form)).payload().toString(), form);
      assertEquals(Reply.MALFORMED, decode(HTTP, false, foreign(form)));
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "VA 2 O7f00a1 O7f00a1",
        "VA 2 O7f00b2 O7f00a1",
        "VA 2 k O7f00a1",
        "VA 2 O7f00a1 -1",
        "VA +2 O7f00a1",
        "VA 02 O7f00a1",
        "VA 20000000 O7f00a1",
        "VA 2  O7f00a1",
        "VA O7f00a1 2",
        "VA 2 O7f00a1\u0001",
        "VA VA 2 O7f00a1",
        "EN O7f00b2 O7f00a1",
        "EN EN O7f00a1",
        "VA 2 O7f00VA 2 O7f00a1"
      })
  void headWithARepeatedForeignOrMisplacedFieldIsMalformed(String line) throws Exception {
    assertEquals(Reply.MALFORMED, decode(META, false, line + "\r\nhi\r\n"));
  }

  /** Whatever precedes the reply, what is served is the value that follows it, or nothing. */
  @Test
  void partOfAnotherReplyAheadOfAReplyIsNeverServed() throws Exception {
    for (Protocol protocol : List.of(META, HTTP)) {
      for (String earlier : protocol.replies) {
        for (String form : protocol.replies) {
          for (int cut = 1; cut < foreign(earlier).length(); cut++) {
            String bytes = foreign(earlier).substring(0, cut) + own(form);
            for (boolean write : new boolean[] {false, true}) {
              Reply reply = decode(protocol, write, bytes);
              if (reply != null && reply.status() == ReplyStatus.ANSWERED) {
                String served = reply.payload().toString();
                assertTrue(
                    Set.of(SERVED_VALUE, SERVED_RECEIPT, "HD O" + ID + " chi\r\n").contains(served),
                    bytes);
                assertTrue(form.contains("hi") || form.contains("ok"), bytes);
              }
            }
          }
        }
      }
    }
  }

  @Test
  void changedRepliesAreServedWithACanonicalHeadOrNotAtAll() throws Exception {
    Random random = new Random(1);
    for (int i = 0; i < SEEDED_CHANGES; i++) {
      Protocol protocol = random.nextBoolean() ? META : HTTP;
      String reply = own(protocol.replies.get(random.nextInt(protocol.replies.size())));
      int at = random.nextInt(reply.length());
      String inserted = random.nextInt(3) == 0 ? "" : String.valueOf((char) random.nextInt(256));
      int removed = random.nextInt(2);
      String changed = reply.substring(0, at) + inserted + reply.substring(at + removed);
      assertServedWholeOrNotAtAll(
          protocol, random.nextInt(4) == 0 ? reply.substring(0, at) + reply : changed);
    }
  }
}
