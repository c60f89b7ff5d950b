package tansypass.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Supplier;
import picocli.CommandLine.Option;

/** The option {@code --json} of commands that can also write their results to a file. */
final class JsonOption {
    @Option(names = "--json", paramLabel = "OUT", description = "write the results to this file as JSON")
    private Path file;

    /**
     * Writes the results to the file; does nothing if the option is not given.
     *
     * @throws IOException if the file can't be written
     */
    void write(Supplier<String> results) throws IOException {
        if (file != null) {
            Files.writeString(file, results.get());
        }
    }
}
