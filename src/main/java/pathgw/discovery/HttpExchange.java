package pathgw.discovery;

import io.vertx.core.buffer.Buffer;
import java.util.function.Consumer;
import pathgw.codec.HttpResponseHead;
import pathgw.codec.MetaCommand;
import pathgw.codec.RecordSplitter;
import pathgw.config.Address;
import pathgw.transport.Connection;

/**
 * One HTTP {@code GET} on a connection of its own. The lines of the response's body are passed on
 * as they arrive, for as long as the response stays open; the connection is closed when it ends.
 */
final class HttpExchange {
  /** Receives the response; nothing is called after {@link #ended}, or once it is cancelled. */
  interface Listener {
    /** A line of the body, without its end. */
    void bodyLineReceived(Buffer line);

    /** No more comes. */
    void ended(CallEnd end);
  }

  private static final int MAX_LINE_BYTES = 1024;

  /** Of the body where it has a length, of a chunk, and of one line of the body. */
  static final int MAX_BODY_BYTES = 1 << 22;

  private static final int STATUS_OK = 200;
  private static final String DECIMAL_LENGTH = "\\d{1,7}";
  private static final String HEXADECIMAL_LENGTH = "[0-9a-fA-F]{1,7}";
  private static final int INVALID_SIZE = -1;
  private static final String LINE_END = "\n";

  private final RecordSplitter records =
      new RecordSplitter(
          MAX_LINE_BYTES, this::recordReceived, () -> end(CallEnd.Reason.LINE_TOO_LONG));
  private final RecordSplitter bodyLines =
      new RecordSplitter(
          LINE_END,
          MAX_BODY_BYTES,
          this::bodyLineReceived,
          () -> end(CallEnd.Reason.BODY_TOO_LONG));
  private final HttpResponseHead head = new HttpResponseHead();
  private final Listener listener;

  /** Reads the next record, as the part of the response that it belongs to requires. */
  private Consumer<Buffer> recordReader = this::readHeadLine;

  private Connection connection;
  private boolean over;

  /** Whether the body has neither length nor chunks, and lasts until the connection ends. */
  private boolean bodyUntilClose;

  HttpExchange(Listener listener) {
    this.listener = listener;
  }

  /** Sends the request. A connection that comes up after the exchange was cancelled is closed. */
  void start(Connection connection, Address host, String path) {
    if (over) {
      connection.close();
      return;
    }
    this.connection = connection;
    connection.onData(this::dataReceived);
    connection.onClose(this::connectionClosed);
    connection.write(Buffer.buffer("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n"));
  }

  /** Ends the exchange without telling the listener. */
  void cancel() {
    over = true;
    records.end();
    bodyLines.end();
    if (connection != null) {
      connection.close();
    }
  }

  private void end(CallEnd.Reason reason) {
    end(CallEnd.of(reason));
  }

  private void end(CallEnd end) {
    if (!over) {
      cancel();
      listener.ended(end);
    }
  }

  private void dataReceived(Buffer bytes) {
    if (bodyUntilClose) {
      records.expect(bytes.length());
    }
    records.take(bytes);
  }

  /** A reset does not complete the body: what arrived before it may be only a part. */
  private void connectionClosed(Connection.CloseReason reason) {
    if (bodyUntilClose && reason == Connection.CloseReason.END_OF_STREAM && !over) {
      completeBody();
    } else {
      end(CallEnd.Reason.CONNECTION_LOST);
    }
  }

  private void recordReceived(Buffer record) {
    if (!over) {
      recordReader.accept(record);
    }
  }

  private void bodyLineReceived(Buffer line) {
    if (!over) {
      listener.bodyLineReceived(line);
    }
  }

  private void readHeadLine(Buffer line) {
    switch (head.take(line)) {
      case OPEN -> {}
      case SPOILT -> end(CallEnd.Reason.NOT_HTTP);
      case WHOLE -> beginBody();
    }
  }

  private void beginBody() {
    String length = head.header("content-length");
    if (head.status() != STATUS_OK) {
      end(new CallEnd(CallEnd.Reason.UNEXPECTED_STATUS, "" + head.status()));
    } else if ("chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
      recordReader = this::readChunkSize;
    } else if (length == null) {
      beginBodyUntilClose();
    } else if (!length.matches(DECIMAL_LENGTH) || Integer.parseInt(length) > MAX_BODY_BYTES) {
      end(new CallEnd(CallEnd.Reason.INVALID_LENGTH, length));
    } else {
      beginBodyOfLength(Integer.parseInt(length));
    }
  }

  private void beginBodyUntilClose() {
    bodyUntilClose = true;
    if (records.left() > 0) {
      records.expect((int) records.left());
    }
    recordReader = bodyLines::take;
  }

  private void beginBodyOfLength(int length) {
    if (length == 0) {
      end(CallEnd.Reason.COMPLETE);
      return;
    }
    records.expect(length);
    recordReader =
        body -> {
          bodyLines.take(body);
          completeBody();
        };
  }

  /** The last line may lack its end. */
  private void completeBody() {
    if (bodyLines.left() > 0) {
      bodyLines.take(Buffer.buffer(LINE_END));
    }
    end(CallEnd.Reason.COMPLETE);
  }

  private void readChunkSize(Buffer line) {
    int size = parseChunkSize(line);
    if (size < 0 || size > MAX_BODY_BYTES) {
      end(CallEnd.Reason.INVALID_CHUNK);
    } else if (size == 0) {
      completeBody();
    } else {
      records.expect(size + MetaCommand.CRLF.length());
      recordReader = chunk -> readChunk(chunk, size);
    }
  }

  private static int parseChunkSize(Buffer line) {
    String size = MetaCommand.text(line).split(";", 2)[0].trim();
    return size.matches(HEXADECIMAL_LENGTH) ? Integer.parseInt(size, 16) : INVALID_SIZE;
  }

  private void readChunk(Buffer chunk, int size) {
    recordReader = this::readChunkSize;
    if (chunk.slice(size, chunk.length()).equals(MetaCommand.CRLF)) {
      bodyLines.take(chunk.slice(0, size));
    } else {
      end(CallEnd.Reason.INVALID_CHUNK);
    }
  }
}
