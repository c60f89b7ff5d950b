package tansypass.node.discovery;

/** The discovery agent has sent a message that is not a valid watch event; the message names what is malformed. */
final class MalformedWatchEventException extends Exception {
    private static final long serialVersionUID = 1;

    MalformedWatchEventException(String reason) {
        super(reason);
    }

    MalformedWatchEventException(String reason, Throwable cause) {
        super(reason, cause);
    }
}
