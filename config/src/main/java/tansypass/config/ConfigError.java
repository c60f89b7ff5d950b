package tansypass.config;

/**
 * One error in a configuration file.
 *
 * @param source the path of the file, or the name of the environment variable that overrides the value
 * @param line the line number, counted from 1; 0 if it is unknown
 * @param key the full key, such as {@code servers[0].uid}; empty if the file can't be read or is not valid TOML
 * @param problem the description of the error, with the invalid value and the allowed values
 */
public record ConfigError(String source, int line, String key, String problem) {

    /** Formats the error as one line, in which spaces replace control characters. */
    @Override
    public String toString() {
        String where = source + (line == 0 ? "" : ":" + line) + ": ";
        String text = where + (key.isEmpty() ? "" : key + ": ") + problem;
        return text.replaceAll("\\p{Cntrl}+", " ");
    }
}
