package tansypass.testbed.process;

/** Thrown before a run if this machine has too little memory or too few descriptors; the message has the amounts. */
public final class InsufficientResourcesException extends Exception {
    private static final long serialVersionUID = 1L;

    InsufficientResourcesException(String message) {
        super(message);
    }
}
