package tansypass.config;

import java.util.List;
import java.util.stream.Collectors;

/** A configuration file is invalid; the message has one line per error. */
public final class InvalidConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<ConfigError> errors;

    InvalidConfigException(List<ConfigError> errors) {
        super(errors.stream().map(ConfigError::toString).collect(Collectors.joining("\n")));
        this.errors = List.copyOf(errors);
    }

    /** Returns at least one error, in the order of the file. */
    public List<ConfigError> errors() {
        return errors;
    }
}
