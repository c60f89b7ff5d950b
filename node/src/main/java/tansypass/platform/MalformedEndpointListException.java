package tansypass.platform;

/** A text is not a valid endpoint list; the exception's message gives the reason in one line, with the value. */
public final class MalformedEndpointListException extends Exception {
    private static final long serialVersionUID = 1;

    MalformedEndpointListException(String reason) {
        super(reason);
    }

    MalformedEndpointListException(String reason, Throwable cause) {
        super(reason, cause);
    }
}
