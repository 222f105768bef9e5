package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Lines that end in CRLF, and their words. */
final class Lines {
  private Lines() {}

  /** Reads a line without its end; null at the end of the stream. */
  static String read(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b >= 0; b = in.read()) {
      if (b == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(b);
    }
    return null;
  }

  /** The text of the flag with the given letter; empty if there is none. */
  static String flag(String[] words, char letter) {
    for (int i = 2; i < words.length; i++) {
      if (!words[i].isEmpty() && words[i].charAt(0) == letter) {
        return words[i].substring(1);
      }
    }
    return "";
  }
}
