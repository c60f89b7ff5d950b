package tansypass.platform;

/** Thrown when a text is not a valid endpoint list; the message gives the reason in one line, with the value. */
public final class MalformedEndpointListException extends Exception {
    private static final long serialVersionUID = 1;

    MalformedEndpointListException(String reason) {
        super(reason);
    }

    MalformedEndpointListException(String reason, Throwable cause) {
        super(reason, cause);
    }
}
