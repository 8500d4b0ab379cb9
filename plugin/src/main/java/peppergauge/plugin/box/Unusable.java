package peppergauge.plugin.box;

/** A module that is not taken; the message says why. */
public final class Unusable extends Exception {

    private static final long serialVersionUID = 1L;

    public Unusable(String why) {
        super(why);
    }
}
