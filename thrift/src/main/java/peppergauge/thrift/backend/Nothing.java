package peppergauge.thrift.backend;

import peppergauge.session.Backend;

/** An attempt of which nothing was ever out. */
enum Nothing implements Backend.Exchange {
    OUT;

    @Override
    public boolean withdraw() {
        return true;
    }

    @Override
    public boolean abandon() {
        return true;
    }
}
