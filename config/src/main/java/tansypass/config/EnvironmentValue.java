package tansypass.config;

import java.util.regex.Pattern;

/** The text of an environment variable, which is converted to the type of the key that it overrides. */
record EnvironmentValue(String text) {
    private static final Pattern INTEGER = Pattern.compile("-?[0-9]{1,18}");
    private static final Pattern NUMBER = Pattern.compile("-?[0-9]{1,18}(\\.[0-9]{1,18})?");
    private static final Pattern BOOLEAN = Pattern.compile("true|false");

    /** Returns the value as an integer, or null if it is not an integer. */
    Long toLong() {
        return INTEGER.matcher(text).matches() ? Long.valueOf(text) : null;
    }

    /** Returns the value as a number, or null if it is not a number. */
    Double toDouble() {
        return NUMBER.matcher(text).matches() ? Double.valueOf(text) : null;
    }

    /** Returns the value as a boolean, or null if it is neither true nor false. */
    Boolean toBoolean() {
        return BOOLEAN.matcher(text).matches() ? Boolean.valueOf(text) : null;
    }

    /** Returns the text in quotes, as errors show it. */
    @Override
    public String toString() {
        return '"' + text + '"';
    }
}
