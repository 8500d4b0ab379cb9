package peppergauge.lab.command;

/** Exit codes, which are the same for all commands. */
final class ExitCode {

    static final int OK = 0;
    static final int FAILED = 1;
    static final int INVALID_INPUT = 2;
    static final int RULE_VIOLATED = 3;

    /** Descriptions for the help texts, in picocli's {@code code:description} form. */
    static final String[] TABLE = {
        OK + ":fine",
        FAILED + ":it failed, for a reason outside its input",
        INVALID_INPUT + ":unusable input: the command line or a file; each error is named on standard error",
        RULE_VIOLATED + ":a rule of the system was broken in an emulated, played or soaked run",
    };

    private ExitCode() {}
}
