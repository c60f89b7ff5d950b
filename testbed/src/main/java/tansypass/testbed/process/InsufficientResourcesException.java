package tansypass.testbed.process;

/** Thrown before a run if this machine lacks memory or descriptors for it; the message says what is needed and there. */
public final class InsufficientResourcesException extends Exception {
    private static final long serialVersionUID = 1L;

    InsufficientResourcesException(String message) {
        super(message);
    }
}
