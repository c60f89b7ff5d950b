package tansypass.config;

import java.util.List;
import java.util.stream.Collectors;

/** A file that can't be used, with all that is wrong with it. */
public final class FaultyFileException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    private final transient List<Fault> faults;

    FaultyFileException(List<Fault> faults) {
        super(faults.stream().map(Fault::toString).collect(Collectors.joining("\n")));
        this.faults = List.copyOf(faults);
    }

    /** At least one, in the order of the file. */
    public List<Fault> faults() {
        return faults;
    }
}
