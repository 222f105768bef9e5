package pathgw.client;

import io.vertx.core.buffer.Buffer;
import pathgw.codec.MetaCommand;
import pathgw.codec.RecordSplitter;

/**
 * Splits the bytes of one client into meta commands: a line each, and for a write the value after
 * it. The content of a line is read elsewhere; here only its end must be found.
 */
final class CommandReader {
  /** Is notified of each command, in order. */
  interface Handler {
    /** The client asks whether the proxy is ready. */
    void readinessCheck();

    /**
     * A complete read or write.
     *
     * @param value what is to be stored; empty for a read
     */
    void request(Buffer line, Buffer value);

    /** A line that begins with no command known here. */
    void unknownCommand();

    /** It cannot be told any more where the next command begins. */
    void framingLost(String reason);

    /** Handling a command threw an exception. */
    void handlerFailed(RuntimeException cause);
  }

  private static final int MAX_LINE_BYTES = 2048;
  private static final int LENGTH_WORD = 2;
  private static final Buffer NO_VALUE = Buffer.buffer();

  private final Handler handler;
  private final RecordSplitter records;

  /** The line of a write whose value is awaited, or null. */
  private Buffer writeLine;

  private int valueLength;

  CommandReader(Handler handler) {
    this.handler = handler;
    records =
        new RecordSplitter(
            MAX_LINE_BYTES, this::receiveRecord, () -> handler.framingLost("line too long"));
  }

  /** Reads all commands that these bytes complete, unless paused or ended meanwhile. */
  void receive(Buffer bytes) {
    records.take(bytes);
  }

  /** Whether part of a command has been received. */
  boolean hasPartialCommand() {
    return records.left() != 0;
  }

  /** Passes on no further command until it is resumed. */
  void pause() {
    records.pause();
  }

  /** Passes on the commands that were received while it was paused. */
  void resume() {
    records.resume();
  }

  /** Passes on no further command at all. */
  void end() {
    records.end();
  }

  private void receiveRecord(Buffer bytes) {
    try {
      if (writeLine == null) {
        receiveLine(bytes);
      } else {
        receiveValue(bytes);
      }
    } catch (RuntimeException e) {
      handler.handlerFailed(e);
    }
  }

  private void receiveLine(Buffer line) {
    String[] words = MetaCommand.words(line);
    switch (words[0]) {
      case "mn" -> handler.readinessCheck();
      case "mg" -> handler.request(line, NO_VALUE);
      case "ms" -> awaitValue(line, words);
      default -> handler.unknownCommand();
    }
  }

  private void awaitValue(Buffer line, String[] words) {
    if (words.length <= LENGTH_WORD || !words[LENGTH_WORD].matches("\\d{1,9}")) {
      handler.framingLost("bad length");
      return;
    }
    int length = Integer.parseInt(words[LENGTH_WORD]);
    if (length > MetaCommand.MAX_STORED_VALUE_BYTES) {
      handler.framingLost("value too long");
      return;
    }
    writeLine = line;
    valueLength = length;
    records.expect(length + MetaCommand.CRLF.length());
  }

  private void receiveValue(Buffer value) {
    Buffer line = writeLine;
    writeLine = null;
    if (value.getByte(valueLength) != '\r' || value.getByte(valueLength + 1) != '\n') {
      handler.framingLost("value without its end");
    } else {
      handler.request(line, value.slice(0, valueLength));
    }
  }
}
