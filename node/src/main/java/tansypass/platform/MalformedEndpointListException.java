package tansypass.platform;

/**
 * A message is not a valid endpoint list; the message of the exception gives the reason in one line, with the value.
 */
public final class MalformedEndpointListException extends Exception {
    private static final long serialVersionUID = 1;

    MalformedEndpointListException(String reason) {
        super(reason);
    }

    MalformedEndpointListException(String reason, Throwable cause) {
        super(reason, cause);
    }
}
