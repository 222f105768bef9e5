package pathgw;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What CI makes of the list of tests that are known to fail. */
class KnownRedTest {
  private static final String RED = "pathgw.server.XTest#red, the node forgets, issue 7\n";

  @TempDir Path folder;

  private void report(String... cases) throws IOException {
    Files.createDirectories(folder.resolve("reports"));
    Files.writeString(
        folder.resolve("reports/TEST-pathgw.server.XTest.xml"),
        "<testsuite>" + String.join("", cases) + "</testsuite>");
  }

  private static String green(String name) {
    return "<testcase classname='pathgw.server.XTest' name='" + name + "'/>";
  }

  private static String red(String name) {
    return "<testcase classname='pathgw.server.XTest' name='"
        + name
        + "'><failure>no</failure></testcase>";
  }

  /** The exit status and what was said. */
  private String judged(String list, boolean reports) throws IOException, InterruptedException {
    Path file = folder.resolve("KNOWN-RED.txt");
    Files.deleteIfExists(file);
    if (list != null) {
      Files.writeString(file, list);
    }
    String java = ProcessHandle.current().info().command().orElse("java");
    List<String> command = new ArrayList<>(List.of(java, ".ci/KnownRed.java", file.toString()));
    if (reports) {
      command.add(folder.resolve("reports").toString());
      command.add(folder.resolve("none").toString());
    }
    Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
    String said = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertTrue(process.waitFor(30, TimeUnit.SECONDS));
    return process.exitValue() + " " + said.trim();
  }

  @Test
  void aListedTestThatFailsIsPassedOverAndPrinted() throws Exception {
    report(green("one"), red("red"));
    assertEquals("0 known-red: passed over: " + RED.trim(), judged(RED, true));
    assertEquals(
        "1 known-red: failed or was skipped, and is not listed: pathgw.server.XTest#red",
        judged(null, true));
    report(green("one"), red("two"), red("red"));
    assertEquals(
        "1 known-red: passed over: "
            + RED.trim()
            + "\nknown-red: failed or was skipped, and is not listed: pathgw.server.XTest#two",
        judged(RED, true));
  }

  @Test
  void aListedTestThatPassesOrIsNotThereIsToBeStruck() throws Exception {
    report(green("red"));
    assertEquals(
        "1 known-red: listed, but it passes; strike it: pathgw.server.XTest#red",
        judged(RED, true));
    report(green("one"));
    assertEquals(
        "1 known-red: listed, but there is no such test: pathgw.server.XTest#red",
        judged(RED, true));
  }

  @Test
  void skippingIsNoWayRoundIt() throws Exception {
    report(
        green("one"), "<testcase classname='pathgw.server.XTest' name='two'><skipped/></testcase>");
    assertEquals(
        "1 known-red: failed or was skipped, and is not listed: pathgw.server.XTest#two",
        judged("", true));
  }

  @Test
  void theListIsShortAndEachLineWhole() throws Exception {
    assertEquals("0 ", judged(null, false));
    assertEquals("0 ", judged("\n" + RED, false));
    assertEquals(
        "1 known-red: 4 lines, 3 at most",
        judged(
            RED + RED.replace("red", "b") + RED.replace("red", "c") + RED.replace("red", "d"),
            false));
    for (String bad :
        new String[] {
          "XTest",
          "pathgw.XTest#a",
          "pathgw.XTest#a, why",
          "pathgw.XTest#a, , issue 3",
          "pathgw.XTest#a, why, issue x"
        }) {
      assertTrue(judged(bad, false).startsWith("1 known-red: not of the form"), bad);
    }
  }
}
