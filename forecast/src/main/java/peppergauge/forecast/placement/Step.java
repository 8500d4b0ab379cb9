package peppergauge.forecast.placement;

/** How sessions are placed from a moment on, in ms after the change began. */
public record Step(double atMs, Placement placement) {}
