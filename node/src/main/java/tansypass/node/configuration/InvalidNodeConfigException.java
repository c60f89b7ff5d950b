package tansypass.node.configuration;

/**
 * Thrown when a node can't start or be reloaded with a configuration. The message is meant for the operator and names
 * the value that is missing or invalid.
 */
public final class InvalidNodeConfigException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates an exception with a message of one line for the operator. */
    public InvalidNodeConfigException(String message) {
        super(message);
    }

    /** Creates an exception with a message of one line for the operator, and a cause. */
    public InvalidNodeConfigException(String message, Throwable cause) {
        super(message, cause);
    }
}
