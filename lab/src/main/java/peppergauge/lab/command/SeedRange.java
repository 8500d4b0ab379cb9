package peppergauge.lab.command;

import picocli.CommandLine;

/** Seeds from {@code first} to {@code last}, both included. */
record SeedRange(long first, long last) {

    static final class Converter implements CommandLine.ITypeConverter<SeedRange> {

        @Override
        public SeedRange convert(String text) {
            String[] ends = text.split("\\.\\.", -1);
            if (ends.length != 2
                    || !ends[0].matches("\\d{1,10}")
                    || !ends[1].matches("\\d{1,10}")
                    || Long.parseLong(ends[0]) > Long.parseLong(ends[1])) {
                throw new CommandLine.TypeConversionException(
                        "'" + text + "' is no range of seeds such as 1..200, the smaller first");
            }
            return new SeedRange(Long.parseLong(ends[0]), Long.parseLong(ends[1]));
        }
    }
}
