package tansypass.node.configuration;

/**
 * A configuration that a node can't start with or be reloaded with. The message is meant for the operator and names
 * what is missing or invalid.
 */
public final class InvalidNodeConfigException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates an exception with one line for the operator. */
    public InvalidNodeConfigException(String message) {
        super(message);
    }

    /** Creates an exception as above, with a cause. */
    public InvalidNodeConfigException(String message, Throwable cause) {
        super(message, cause);
    }
}
