package peppergauge.plugin.abi;

import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/**
 * Wall-clock time in the time zone that the operator file sets for the plug-in.
 *
 * @param epochMs since 1970-01-01T00:00Z, ms
 * @param offsetS offset of the zone from UTC, s; positive east of it
 * @param weekday from 1 (Monday) to 7 (Sunday)
 * @param minute minute of the day, from 0 to 1439
 */
public record LocalTime(long epochMs, int offsetS, int weekday, int minute) {

    public static LocalTime of(long epochMs, ZoneId zone) {
        Instant now = Instant.ofEpochMilli(epochMs);
        ZoneOffset offset = zone.getRules().getOffset(now);
        long localS = Math.floorDiv(epochMs, 1000) + offset.getTotalSeconds();
        int weekday = (int) Math.floorMod(Math.floorDiv(localS, 86_400) + 3, 7L) + 1;
        return new LocalTime(epochMs, offset.getTotalSeconds(), weekday, (int) (Math.floorMod(localS, 86_400L) / 60));
    }
}
