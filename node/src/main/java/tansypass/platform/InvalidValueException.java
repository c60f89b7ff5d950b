package tansypass.platform;

/** Thrown when a value of the platform is missing, of the wrong type or out of range; the message names its key. */
public final class InvalidValueException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * Creates an exception whose message is the path followed by the problem.
     *
     * @param path the path of the key as written in the input, such as {@code settings.classes[0].giveUpUs}
     * @param problem the problem with the key's value, such as "is missing"
     */
    InvalidValueException(String path, String problem) {
        super(path + " " + problem);
    }

    /** Creates an exception with a cause, whose message is the path followed by the problem. */
    InvalidValueException(String path, String problem, Throwable cause) {
        super(path + " " + problem, cause);
    }
}
