package tansypass.node.discovery;

import io.netty.buffer.ByteBuf;

/**
 * Splits the body of a watch into messages: JSON objects, each on one line or indented over several lines, with empty
 * lines between them. Each byte is examined once. It balances brackets and quotes only; whether an object is
 * well-formed JSON is left to the parser. Not thread-safe.
 */
final class JsonObjectFramer {
    /** Bytes already examined, counted from the buffer's reader index. */
    private int examinedBytes;

    private int depth;
    private boolean inString;
    private boolean escaped;
    private int messageLength;

    /**
     * Examines bytes up to the next line end between messages, or the next end of a message. In the first case the
     * reader index is moved past that line and {@link #messageLength} is 0; in the second it stands at the start of
     * the message, which the caller has to read.
     *
     * @return whether a line or a message was completed
     * @throws MalformedWatchEventException if a message does not start with a brace
     */
    boolean findNext(ByteBuf buffer) throws MalformedWatchEventException {
        while (examinedBytes < buffer.readableBytes()) {
            byte b = buffer.getByte(buffer.readerIndex() + examinedBytes++);
            if (depth > 0) {
                examineInMessage(b);
                if (depth == 0) {
                    messageLength = examinedBytes;
                    examinedBytes = 0;
                    return true;
                }
            } else if (b == '{') {
                depth = 1;
            } else {
                skipWhitespace(buffer, b);
                if (b == '\n') {
                    return true;
                }
            }
        }
        return false;
    }

    /** Returns the length in bytes of the message that was found, or 0 after an empty line. */
    int messageLength() {
        return messageLength;
    }

    /** Returns whether a message has started and not ended. */
    boolean isInMessage() {
        return depth > 0;
    }

    private void skipWhitespace(ByteBuf buffer, byte b) throws MalformedWatchEventException {
        if (b != ' ' && b != '\t' && b != '\r' && b != '\n') {
            throw new MalformedWatchEventException("expected a JSON object, found byte " + b);
        }
        buffer.skipBytes(examinedBytes);
        examinedBytes = 0;
        messageLength = 0;
    }

    private void examineInMessage(byte b) {
        if (inString) {
            inString = escaped || b != '"';
            escaped = !escaped && b == '\\';
        } else if (b == '"') {
            inString = true;
        } else if (b == '{' || b == '[') {
            depth++;
        } else if (b == '}' || b == ']') {
            depth--;
        }
    }
}
