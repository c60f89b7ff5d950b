package tansypass.node.discovery;

/** Thrown if the discovery agent has sent an invalid watch event. The exception's message says what is invalid. */
final class MalformedWatchEventException extends Exception {
    private static final long serialVersionUID = 1;

    MalformedWatchEventException(String reason) {
        super(reason);
    }

    MalformedWatchEventException(String reason, Throwable cause) {
        super(reason, cause);
    }
}
