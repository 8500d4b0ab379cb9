package peppergauge.thrift.backend;

import peppergauge.request.Backend;

/** The exchange of an attempt that has ended before anything was written. */
enum UnsentExchange implements Backend.Exchange {
    INSTANCE;

    @Override
    public boolean cancelIfUnsent() {
        return true;
    }

    @Override
    public boolean abort() {
        return true;
    }
}
