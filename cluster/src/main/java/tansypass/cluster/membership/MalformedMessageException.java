package tansypass.cluster.membership;

/**
 * Thrown for bytes that cannot be decoded. The message gives the reason, without any of the bytes. Has no stack trace.
 */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedMessageException(String reason, Throwable cause) {
        // Anyone can send any number of malformed messages, and a stack trace for each would be too expensive.
        super(reason, cause, false, false);
    }

    MalformedMessageException(String reason) {
        this(reason, null);
    }
}
