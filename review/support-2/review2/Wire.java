package review2;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads lines that end in CRLF (or LF) and blocks of a known size. */
final class Wire {
  private final InputStream in;

  Wire(InputStream in) {
    this.in = new BufferedInputStream(in, 1 << 16);
  }

  /** Returns the next line without its end, or null at the end of the stream. */
  String line() throws IOException {
    StringBuilder text = new StringBuilder();
    int b;
    while ((b = in.read()) != '\n') {
      if (b < 0) {
        return null;
      }
      text.append((char) b);
    }
    int end = text.length();
    return end > 0 && text.charAt(end - 1) == '\r' ? text.substring(0, end - 1) : text.toString();
  }

  byte[] block(int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException();
    }
    return bytes;
  }

  static String text(byte[] bytes, int length) {
    return new String(bytes, 0, length, StandardCharsets.ISO_8859_1);
  }

  static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
