package peppergauge.daemon.part;

/** A part that has something to tell people, by a command of its own. */
public interface Reports {

    /** The word that asks for it at the admin socket. */
    String command();

    /** Maps, lists, texts and numbers; from any thread, within a second. */
    Object report();
}
