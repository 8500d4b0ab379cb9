package peppergauge.operator;

import org.tomlj.TomlPosition;

/** Places from the TOML library's positions. */
final class Places {

    private Places() {}

    static Place of(String file, TomlPosition position) {
        return position == null ? new Place(file, 1, 1) : new Place(file, position.line(), position.column());
    }
}
