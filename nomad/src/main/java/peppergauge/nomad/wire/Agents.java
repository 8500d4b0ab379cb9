package peppergauge.nomad.wire;

import java.util.List;

/** Agents tried in turn; the first is asked until it fails. */
public final class Agents {

    private final List<Agent> all;
    private int turn;

    public Agents(List<Agent> all) {
        this.all = List.copyOf(all);
    }

    public Agent present() {
        return all.get(turn);
    }

    public void next() {
        turn = (turn + 1) % all.size();
    }
}
