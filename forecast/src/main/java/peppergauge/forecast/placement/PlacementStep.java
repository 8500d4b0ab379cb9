package peppergauge.forecast.placement;

/** A placement from a moment on, in ms after the beginning of a change. */
public record PlacementStep(double atMs, Placement placement) {}
