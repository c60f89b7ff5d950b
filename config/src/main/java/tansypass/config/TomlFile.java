package tansypass.config;

import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;

/** Reads a TOML file through a {@link TomlTableReader} and reports all its errors at once. */
public final class TomlFile {
    /** The size of the largest file that is read: far larger than any list of servers written by hand. */
    private static final long MAX_BYTES = 1 << 20;

    private TomlFile() {}

    /**
     * Reads a file.
     *
     * @param environment the environment, whose variables {@code TANSYPASS_SECTION_KEY} override values of the file
     * @param converter converts the table to the typed model. It is not interrupted by an invalid value, which the
     *     reader collects as an error and replaces by a placeholder
     * @throws InvalidConfigException with all errors
     */
    public static <T> T read(String file, Map<String, String> environment, Function<TomlTableReader, T> converter)
            throws InvalidConfigException {
        return parse(readText(file), file, environment, converter);
    }

    /**
     * Parses a text.
     *
     * @param file the name of the file in errors
     * @throws InvalidConfigException with all errors
     */
    public static <T> T parse(
            String text, String file, Map<String, String> environment, Function<TomlTableReader, T> converter)
            throws InvalidConfigException {
        List<ConfigError> errors = new ArrayList<>();
        TomlParseResult toml = Toml.parse(text);
        for (TomlParseError error : toml.errors()) {
            errors.add(new ConfigError(file, error.position().line(), "", error.getMessage()));
        }
        throwIfAny(errors);
        TomlTableReader root = new TomlTableReader(toml, file, "", 1, environment, errors);
        T model = converter.apply(root);
        root.reportUnknownKeys();
        throwIfAny(errors);
        return model;
    }

    private static void throwIfAny(List<ConfigError> errors) throws InvalidConfigException {
        if (!errors.isEmpty()) {
            errors.sort(Comparator.comparingInt(ConfigError::line));
            throw new InvalidConfigException(errors);
        }
    }

    private static String readText(String file) throws InvalidConfigException {
        String problem;
        try {
            Path path = Path.of(file);
            if (Files.size(path) <= MAX_BYTES) {
                return Files.readString(path);
            }
            problem = "the file is larger than the maximum of " + MAX_BYTES + " bytes";
        } catch (MalformedInputException e) {
            problem = "the file is not valid UTF-8";
        } catch (IOException | InvalidPathException e) {
            problem = "the file can't be read: " + e;
        }
        throw new InvalidConfigException(List.of(new ConfigError(file, 0, "", problem)));
    }
}
