package peppergauge.membership;

import java.util.List;

/** Update of one source. */
public sealed interface SourceUpdate {

    /** Returns the source's name, as in {@link MembershipConfig#sources}. */
    String source();

    /**
     * The complete list of the source's servers.
     *
     * @param version grows with each change at the source; a lower one than before means an older list, or that the
     *     source's counter was reset
     * @param authoritative false if the source itself is not sure of the list: servers missing from it are not removed
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
     * @param version comparable with those of complete lists; 0 if not known
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
