package tansypass.cli;

import picocli.CommandLine.IVersionProvider;

/** Reads the version of the program, which the build writes into the manifest of the jar. */
final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() {
        String version = Version.class.getPackage().getImplementationVersion();
        return new String[] {"tansypass " + (version == null ? "(not from a jar)" : version)};
    }
}
