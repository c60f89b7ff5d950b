package tansypass.node.discovery;

import io.netty.buffer.ByteBuf;

/**
 * Splits the body of a watch's response into messages. A message is a JSON object on one line, or indented over several
 * lines; there may be empty lines between messages. The framer examines each byte once and only matches brackets and
 * quotes; the parser checks that an object is well-formed JSON. Not thread-safe.
 */
final class JsonObjectFramer {
    /** The number of bytes after the buffer's reader index that have been examined already. */
    private int examinedBytes;

    /** The number of open brackets and braces; 0 between messages. */
    private int nestingDepth;

    private boolean inString;
    private boolean escaped;
    private int messageLengthBytes;

    /**
     * Examines bytes up to the next end of a message, or the next line end between messages. At the end of a message,
     * the reader index is at the start of the message, which the caller must read. At a line end, the reader index is
     * after the line and {@link #messageLengthBytes} is 0.
     *
     * @return whether the end of a message or of a line was found
     * @throws MalformedWatchEventException if a message does not start with a brace
     */
    boolean findNext(ByteBuf buffer) throws MalformedWatchEventException {
        while (examinedBytes < buffer.readableBytes()) {
            byte b = buffer.getByte(buffer.readerIndex() + examinedBytes++);
            if (nestingDepth > 0) {
                examineInMessage(b);
                if (nestingDepth == 0) {
                    messageLengthBytes = examinedBytes;
                    examinedBytes = 0;
                    return true;
                }
            } else if (b == '{') {
                nestingDepth = 1;
            } else {
                skipWhitespace(buffer, b);
                if (b == '\n') {
                    return true;
                }
            }
        }
        return false;
    }

    /** Returns the length of the message that was found, or 0 if an empty line was found. */
    int messageLengthBytes() {
        return messageLengthBytes;
    }

    /** Returns whether a message has started that has not ended. */
    boolean isInMessage() {
        return nestingDepth > 0;
    }

    private void skipWhitespace(ByteBuf buffer, byte b) throws MalformedWatchEventException {
        if (b != ' ' && b != '\t' && b != '\r' && b != '\n') {
            throw new MalformedWatchEventException("expected a JSON object, found byte " + b);
        }
        buffer.skipBytes(examinedBytes);
        examinedBytes = 0;
        messageLengthBytes = 0;
    }

    private void examineInMessage(byte b) {
        if (inString) {
            inString = escaped || b != '"';
            escaped = !escaped && b == '\\';
        } else if (b == '"') {
            inString = true;
        } else if (b == '{' || b == '[') {
            nestingDepth++;
        } else if (b == '}' || b == ']') {
            nestingDepth--;
        }
    }
}
