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

/** What a shell sees of the commands: exit codes and last lines. */
class CliTest {
  private String said;

  private int run(String... args) {
    PrintStream out = System.out;
    PrintStream err = System.err;
    ByteArrayOutputStream told = new ByteArrayOutputStream();
    PrintStream both = new PrintStream(told, true, StandardCharsets.UTF_8);
    System.setOut(both);
    System.setErr(both);
    try {
      return Cli.run(args);
    } finally {
      System.setOut(out);
      System.setErr(err);
      said = told.toString(StandardCharsets.UTF_8);
    }
  }

  @Test
  void badUseIsTwoAndSaysWhatIsWrong() {
    assertEquals(2, run("simulate", "--seeds", "9-1"));
    assertTrue(said.contains("--seeds is '9-1', not a range like 0-9999"), said);
    assertEquals(2, run("simulate"));
    assertEquals(2, run("simulate", "--seeds", "0-1", "--jobs", "0"));
    assertEquals(2, run("simulate", "--seed", "1", "--seeds", "0-1"));
    assertEquals(2, run("dance"));
  }

  @Test
  void seedsEndWithOneLineForMachines() {
    assertEquals(0, run("simulate", "--seeds", "3-4", "--jobs", "2", "--counts"));
    assertTrue(
        said.trim().matches("(?s).*\n2 seeds, 0 failed, [0-9.]+ s, digest [0-9a-f]{16}"), said);
  }

  @Test
  void aScriptIsPlayedAndABrokenRuleIsOne(@TempDir Path dir) throws IOException {
    Path kept = Files.writeString(dir.resolve("kept.txt"), "lasts 1000ms\n");
    assertEquals(0, run("simulate", "--script", kept.toString(), "--trace"));
    assertTrue(said.endsWith("all rules kept\n") && said.contains("client asks p0"), said);
    // Ten times what all nodes bear, for good: the service that is asked for cannot come back.
    Path broken =
        Files.writeString(
            dir.resolve("broken.txt"), "lasts 11000ms\nrate 20/s\nat 1000ms burst by 30\n");
    assertEquals(1, run("simulate", "--script", broken.toString()));
    assertTrue(said.contains("rule 5 broken at "), said);
    Path wrong = Files.writeString(dir.resolve("wrong.txt"), "seed 1\nrate fast\n");
    assertEquals(2, run("simulate", "--script", wrong.toString()));
    assertTrue(said.contains("wrong.txt: line 2: 'rate' needs a number with its unit, /s"), said);
    assertEquals(2, run("simulate", "--script", dir.resolve("none.txt").toString()));
    assertTrue(said.contains("none.txt: cannot be read"), said);
  }
}
