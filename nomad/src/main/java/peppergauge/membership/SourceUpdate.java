package peppergauge.membership;

import java.util.List;

/** An update from one source. */
public sealed interface SourceUpdate {

    /** Returns the source's name, as in {@link MembershipConfig#sources}. */
    String source();

    /**
     * The complete list of the source's servers.
     *
     * @param version grows with each change at the source; a version lower than an earlier one means an older list, or
     *     that the source's counter was reset
     * @param authoritative false if the list may be outdated according to the source: servers missing from it are kept
     */
    record CompleteList(String source, long version, boolean authoritative, List<ReportedEndpoint> servers)
            implements SourceUpdate {
        public CompleteList {
            servers = List.copyOf(servers);
        }
    }

    /**
     * Changes of single servers.
     *
     * @param version comparable with the versions of complete lists; 0 if not known
     */
    record Changes(String source, long version, List<ReportedEndpoint> servers) implements SourceUpdate {
        public Changes {
            servers = List.copyOf(servers);
        }
    }

    /** The source responds and has no changes. */
    record Alive(String source) implements SourceUpdate {}

    /** The source does not respond. */
    record Lost(String source) implements SourceUpdate {}
}
