package tansypass.testbed.process;

/** Thrown before a run if this machine lacks memory or descriptors for it; the message has both amounts. */
public final class InsufficientResourcesException extends Exception {
    private static final long serialVersionUID = 1L;

    InsufficientResourcesException(String message) {
        super(message);
    }
}
