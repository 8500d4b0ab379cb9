package peppergauge.plugin.abi;

/** Names and bounds of version 1. */
public final class Abi {

    public static final int VERSION = 1;
    /** The module that plug-ins import from. */
    public static final String MODULE = "peppergauge";

    public static final String MEMORY = "memory";
    public static final String ABI_VERSION = "abi_version";
    public static final String ALLOC = "alloc";
    public static final String ON_SESSION = "on_session";
    public static final String ON_ANSWER = "on_answer";
    public static final String ON_TICK = "on_tick";
    /** Bytes that a plug-in is asked for once, and into which each record is written. */
    public static final int INBOX = 16 * 1024;
    /** Bytes of a verdict. */
    public static final int LONGEST_VERDICT = 8 * 1024;

    public static final int LONGEST_REASON = 64;
    /** The longest advice on when to come back, ms. */
    public static final long LONGEST_RETRY_AFTER_MS = 3_600_000;

    private Abi() {}

    /** A verdict or a pointer that the ABI does not allow. */
    public static final class Broken extends Exception {

        private static final long serialVersionUID = 1L;

        public Broken(String why) {
            super(why);
        }
    }
}
