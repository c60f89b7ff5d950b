package tansypass.platform;

/** A value on the platform's wire that is missing, of the wrong type or out of range; the message names its key. */
public final class InvalidValueException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * Creates an exception whose message is the path followed by the problem.
     *
     * @param path the key with its path, as written in the input, such as {@code settings.classes[0].giveUpUs}
     * @param problem what is wrong with its value, such as "is missing"
     */
    InvalidValueException(String path, String problem) {
        super(path + " " + problem);
    }

    /** Creates an exception as above, with a cause. */
    InvalidValueException(String path, String problem, Throwable cause) {
        super(path + " " + problem, cause);
    }
}
