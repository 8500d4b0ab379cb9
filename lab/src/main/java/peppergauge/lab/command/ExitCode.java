package peppergauge.lab.command;

/** What a command's exit codes mean; the same for all commands. */
final class ExitCode {

    static final int FINE = 0;
    static final int FAILED = 1;
    static final int UNUSABLE_INPUT = 2;
    static final int RULE_BROKEN = 3;

    /** For the commands' help. */
    static final String[] TABLE = {
        FINE + ":fine",
        FAILED + ":it failed, for a reason outside its input",
        UNUSABLE_INPUT + ":unusable input: the command line or a file; each error is named on standard error",
        RULE_BROKEN + ":a rule of the system was broken in an emulated, played or soaked run",
    };

    private ExitCode() {}
}
