package pathgw;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the script that starts a proxy, with a fake java command that prints its arguments. */
class RunScriptTest {
  @TempDir Path folder;

  private String outputOfRun(String config) throws IOException, InterruptedException {
    Path java = Files.writeString(folder.resolve("java"), "#!/bin/sh\necho \"$@\"\n");
    assertTrue(java.toFile().setExecutable(true));
    Path file = folder.resolve("config.json");
    if (config != null) {
      Files.writeString(file, config);
    }
    Path out = folder.resolve("out");
    ProcessBuilder script =
        new ProcessBuilder("/bin/sh", "deploy/run.sh")
            .redirectErrorStream(true)
            .redirectOutput(out.toFile());
    script.environment().clear();
    script.environment().put("PATH", folder.toString());
    script.environment().put("NODE_CONFIG", file.toString());
    Process process = script.start();
    assertTrue(process.waitFor(20, TimeUnit.SECONDS));
    assertEquals(0, process.exitValue());
    return Files.readString(out, StandardCharsets.UTF_8);
  }

  private void assertHeap(int mb, String config) throws IOException, InterruptedException {
    String output = outputOfRun(config);
    assertTrue(output.startsWith("-Xms" + mb + "m -Xmx" + mb + "m "), output);
  }

  @Test
  void heapSizeFollowsConfiguredMemory() throws Exception {
    assertHeap(16, "{\"limits\":{\"cores\":1.0,\"memory_mb\":32,\"sockets\":4096},\"seed\":\"1\"}");
    assertHeap(18, "{\"seed\":\"1\",\"limits\":{\"sockets\":4096,\"memory_mb\":96}}");
    assertHeap(64, "{\n  \"limits\": {\n    \"sockets\": 4096,\n    \"memory_mb\" : 192\n  }\n}\n");
  }

  @Test
  void unusableMemoryLimitIsReported() throws Exception {
    String warning = "run.sh: no usable limits.memory_mb in NODE_CONFIG '";
    assertTrue(outputOfRun(null).startsWith(warning));
    assertTrue(
        outputOfRun("{\"limits\":{\"memory_mb\":\"much\",\"sockets\":512}}").startsWith(warning));
    assertTrue(outputOfRun("{\"limits\":{\"memory_mb\":99999999999}}").contains("-Xmx34m "));
    assertTrue(outputOfRun("{}").startsWith(warning));
  }
}
