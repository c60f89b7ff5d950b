package tansypass.node;

/**
 * A configuration that a node can't start with or be reloaded with. The message is meant for the operator and names
 * what is missing or invalid.
 */
public final class InvalidNodeConfigException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    InvalidNodeConfigException(String message) {
        super(message);
    }

    InvalidNodeConfigException(String message, Throwable cause) {
        super(message, cause);
    }

    /** Returns the failure itself if it is of this type, else this type with the same message. */
    public static InvalidNodeConfigException from(IllegalArgumentException failure) {
        return failure instanceof InvalidNodeConfigException invalid
                ? invalid
                : new InvalidNodeConfigException(failure.getMessage(), failure);
    }
}
