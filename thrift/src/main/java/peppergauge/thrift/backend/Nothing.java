package peppergauge.thrift.backend;

import peppergauge.request.Backend;

/** An attempt of which nothing was ever out. */
enum Nothing implements Backend.Exchange {
    OUT;

    @Override
    public boolean cancelIfUnsent() {
        return true;
    }

    @Override
    public boolean abort() {
        return true;
    }
}
