package peppergauge.plugin.abi;

/** Names and limits of version 1 of the plug-in ABI. */
public final class Abi {

    public static final int VERSION = 1;
    /** The module name of all host functions. */
    public static final String MODULE = "peppergauge";

    public static final String MEMORY = "memory";
    public static final String ABI_VERSION = "abi_version";
    public static final String ALLOC = "alloc";
    public static final String ON_SESSION = "on_session";
    public static final String ON_ANSWER = "on_answer";
    public static final String ON_TICK = "on_tick";
    /** Size of the buffer that a plug-in allocates once per instance and that each record is written to. */
    public static final int RECORD_BUFFER_BYTES = 16 * 1024;

    public static final int MAX_VERDICT_BYTES = 8 * 1024;

    public static final int MAX_REASON_CHARS = 64;
    public static final long MAX_RETRY_AFTER_MS = 3_600_000;

    private Abi() {}

    /** A record or verdict violates the ABI. */
    public static final class ViolationException extends Exception {

        private static final long serialVersionUID = 1L;

        public ViolationException(String message) {
            super(message);
        }
    }
}
