package peppergauge.promises;

/** What evidence is counted by: a station (tenant), a class of its sessions, and the data centre that answered. */
public record Cell(String station, String requestClass, String zone) {

    /** The zone of sessions that no backend server answered: denied or failed before any was reached. */
    public static final String NOWHERE = "";
}
