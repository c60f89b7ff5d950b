package tansypass.cli;

import picocli.CommandLine.IVersionProvider;

/** The version that the build wrote into the jar. */
final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() {
        String version = Version.class.getPackage().getImplementationVersion();
        return new String[] {"tansypass " + (version == null ? "(not from a jar)" : version)};
    }
}
