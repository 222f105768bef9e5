package pathgw.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import pathgw.fixture.NetworkFixture;

/** Tests how meta commands are parsed and how they are encoded when forwarded. */
class MetaCommandTest extends NetworkFixture {
  private static String encoded(MetaCommand command, long millisLeft) {
    return command.encode(Duration.ofMillis(millisLeft)).stream()
        .map(Buffer::toString)
        .collect(Collectors.joining());
  }

  @Test
  void onlyTheClientTimeoutIsReplacedWhenForwarded() throws MalformedCommandException {
    MetaCommand read = command("mg k1 v Oa1 Pc=read,d=480,zz=5,t=one x\r\n");
    assertEquals("mg k1 v Oa1 Pc=read,d=77,zz=5,t=one x\r\n", encoded(read, 77));
    MetaCommand write = command("ms k1 2 Oa1 Pc=write,k=9,d=300", "hi");
    assertEquals("ms k1 2 Oa1 Pc=write,k=9,d=5\r\nhi\r\n", encoded(write, 5));
    assertEquals(Duration.ofMillis(300), write.clientTimeout());
    assertEquals(1, write.requestClass());
    assertTrue(write.isWrite());
  }

  /** In both protocols, whichever labels precede or follow the timeout. */
  @Test
  void timeLeftReplacesTheTimeoutLabelAtAnyPosition() throws MalformedCommandException {
    for (String[] labels :
        new String[][] {
          {"c=read,d=480,zz=5", "c=read,d=77,zz=5"},
          {"d=480,c=read", "d=77,c=read"},
          {"c=read,d=480", "c=read,d=77"},
          {"c=read,d=1", "c=read,d=77"},
          {"c=read,d=480.25,t=one", "c=read,d=77,t=one"},
          {"c=read", "c=read"},
          {"id=9,c=read,zd=8,x=d=7", "id=9,c=read,zd=8,x=d=7"},
          {"id=9,c=read,zd=8,d=480,x=d=7", "id=9,c=read,zd=8,d=77,x=d=7"}
        }) {
      MetaCommand command = command("mg k1 v Oa1 P" + labels[0] + " x");
      Duration timeLeft = Duration.ofMillis(77);
      assertEquals("mg k1 v Oa1 P" + labels[1] + " x\r\n", encoded(command, timeLeft.toMillis()));
      String head = new HttpOriginCodec(TEST_ADDRESS).encodeRequest(command, timeLeft).toString();
      assertTrue(head.contains("\r\nX-Labels: " + labels[1] + "\r\n"), head);
    }
    assertEquals("c=read,d=1", command("mg k v Oa Pc=read,d=9").labelsWithTimeLeft(Duration.ZERO));
  }

  @Test
  void retryMarkAndTenantAreParsedFromLabels() throws MalformedCommandException {
    assertTrue(command("mg k v Oa Pc=read,t=one,r=1,d=5").isRetry());
    assertEquals(0, command("mg k v Oa Pc=read,t=one,d=5").tenant());
    assertEquals(
        1,
        command("mg k v Oa Pc=read,t=unknown,d=5").tenant(),
        "the index of an unknown tenant is the number of tenants");
    assertEquals(Duration.ofMillis(1500), command("mg k v Oa Pc=read").clientTimeout());
  }

  @Test
  void commandWithMissingOrBadFieldIsMalformed() {
    for (String line :
        new String[] {
          "mg",
          "mg  v Oa Pc=read",
          "mg k v Pc=read",
          "mg k v Oa Pc=other,d=5",
          "mg k v Oa Pc=read,d=soon",
          "mg k v Oa Pc=read,d=NaN",
          "mg k v Oa Pc=read,d=12f",
          "mg k v Oa Pc=read,d=-5",
          "mg k v Oa Pc=read,d=1e9",
          "mg k v Oa Ob Pc=read",
          "mg k v O Pc=read",
          "mg k v Oa/b Pc=read",
          "mg k v Oa Pc=read,x=\ny",
          "mg " + "k".repeat(251) + " v Oa Pc=read,d=5"
        }) {
      assertThrows(MalformedCommandException.class, () -> command(line), line);
    }
  }

  @Test
  void clientTimeoutIsLimitedToTheDeadline() throws MalformedCommandException {
    assertEquals(Duration.ofMillis(1500), command("mg k v Oa Pc=read,d=3600000").clientTimeout());
  }
}
