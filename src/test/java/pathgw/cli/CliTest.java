package pathgw.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the exit statuses and the output of the commands. */
class CliTest {
  private String output;

  private int run(String... args) {
    PrintStream originalOut = System.out;
    PrintStream originalErr = System.err;
    ByteArrayOutputStream captured = new ByteArrayOutputStream();
    PrintStream both = new PrintStream(captured, true, StandardCharsets.UTF_8);
    System.setOut(both);
    System.setErr(both);
    try {
      return Cli.run(args);
    } finally {
      System.setOut(originalOut);
      System.setErr(originalErr);
      output = captured.toString(StandardCharsets.UTF_8);
    }
  }

  @Test
  void invalidUseExitsWithTwoAndNamesTheError() {
    assertEquals(2, run("simulate", "--seeds", "9-1"));
    assertTrue(output.contains("--seeds is '9-1', not a range like 0-9999"), output);
    assertEquals(2, run("simulate"));
    assertEquals(2, run("simulate", "--seeds", "0-1", "--jobs", "0"));
    assertEquals(2, run("simulate", "--seed", "1", "--seeds", "0-1"));
    assertEquals(2, run("dance"));
  }

  @Test
  void seedRangeEndsWithMachineReadableLine() {
    assertEquals(0, run("simulate", "--seeds", "3-4", "--jobs", "2", "--counts"));
    assertTrue(
        output.trim().matches("(?s).*\n2 seeds, 0 failed, [0-9.]+ s, digest [0-9a-f]{16}"), output);
  }

  @Test
  void scenarioFileIsPlayedAndViolationExitsWithOne(@TempDir Path dir) throws IOException {
    Path kept = Files.writeString(dir.resolve("kept.txt"), "lasts 1000ms\n");
    assertEquals(0, run("simulate", "--script", kept.toString(), "--trace"));
    assertTrue(output.endsWith("all rules kept\n") && output.contains("client asks p0"), output);
    // The burst never ends and is ten times what all nodes can serve, so service cannot recover.
    Path broken =
        Files.writeString(
            dir.resolve("broken.txt"), "lasts 11000ms\nrate 20/s\nat 1000ms burst by 30\n");
    assertEquals(1, run("simulate", "--script", broken.toString()));
    assertTrue(output.contains("rule 5 broken at "), output);
    Path wrong = Files.writeString(dir.resolve("wrong.txt"), "seed 1\nrate fast\n");
    assertEquals(2, run("simulate", "--script", wrong.toString()));
    assertTrue(
        output.contains("wrong.txt: line 2: 'rate' needs a number with its unit, /s"), output);
    assertEquals(2, run("simulate", "--script", dir.resolve("none.txt").toString()));
    assertTrue(output.contains("none.txt: cannot be read"), output);
  }
}
