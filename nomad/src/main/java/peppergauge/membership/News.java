package peppergauge.membership;

import java.util.List;

/** What a source has to tell. */
public sealed interface News {

    /** The source, by the name that {@link Membership} was given. */
    String source();

    /**
     * All servers that the source knows.
     *
     * @param version grows with each change at the source; a lower one than before means an older list, or that the
     *     source counts anew
     * @param firm false if the source itself is not sure (a server that has not heard from its leader lately): what is
     *     missing from such a list is not believed to be gone
     */
    record Whole(String source, long version, boolean firm, List<Told> servers) implements News {
        public Whole {
            servers = List.copyOf(servers);
        }
    }

    /**
     * What changed for single servers; nothing is said of the others.
     *
     * @param version counted as that of whole lists is, which are older if theirs is lower; 0 if the source knows none
     */
    record Changes(String source, long version, List<Told> servers) implements News {
        public Changes {
            servers = List.copyOf(servers);
        }
    }

    /** The source lives and has nothing new. */
    record Alive(String source) implements News {}

    /** The source cannot be asked, or is silent. */
    record Lost(String source) implements News {}
}
