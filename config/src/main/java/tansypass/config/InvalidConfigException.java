package tansypass.config;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown if a configuration file is invalid; the message has one line per error. */
public final class InvalidConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<ConfigError> errors;

    InvalidConfigException(List<ConfigError> errors) {
        super(errors.stream().map(ConfigError::toString).collect(Collectors.joining("\n")));
        this.errors = List.copyOf(errors);
    }

    /** Returns the errors, of which there is at least one, sorted by line. */
    public List<ConfigError> errors() {
        return errors;
    }
}
