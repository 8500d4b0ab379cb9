package peppergauge.lab.command;

import picocli.CommandLine;

/** The seeds from {@code first} to {@code last}, both inclusive. */
record SeedRange(long first, long last) {

    static final class Converter implements CommandLine.ITypeConverter<SeedRange> {

        @Override
        public SeedRange convert(String text) {
            String[] bounds = text.split("\\.\\.", -1);
            if (bounds.length != 2
                    || !bounds[0].matches("\\d{1,10}")
                    || !bounds[1].matches("\\d{1,10}")
                    || Long.parseLong(bounds[0]) > Long.parseLong(bounds[1])) {
                throw new CommandLine.TypeConversionException(
                        "'" + text + "' is not a range of seeds; expected FIRST..LAST, ascending, such as 1..200");
            }
            return new SeedRange(Long.parseLong(bounds[0]), Long.parseLong(bounds[1]));
        }
    }
}
