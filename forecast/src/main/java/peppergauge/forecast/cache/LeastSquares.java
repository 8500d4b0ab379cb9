package peppergauge.forecast.cache;

/** Weighted least squares over a few regressors, from sums. A regressor without observations gets the factor 0. */
final class LeastSquares {

    private final int size;
    private final double[][] cross;
    private final double[] with;
    private double whole;

    LeastSquares(int size) {
        this.size = size;
        cross = new double[size][size];
        with = new double[size];
    }

    /**
     * So many observations with the same regressors.
     *
     * @param sum of what was observed
     */
    void add(double count, double sum, double... x) {
        for (int i = 0; i < size; i++) {
            for (int j = 0; j < size; j++) {
                cross[i][j] += count * x[i] * x[j];
            }
            with[i] += sum * x[i];
        }
        whole += count == 0 ? 0 : sum * sum / count;
    }

    /** Factors of the regressors; then the variance of each over that of one observation. */
    double[][] solve() {
        double[][] left = new double[size][2 * size];
        for (int i = 0; i < size; i++) {
            System.arraycopy(cross[i], 0, left[i], 0, size);
            left[i][i] += 1e-9;
            left[i][size + i] = 1;
        }
        for (int i = 0; i < size; i++) {
            double by = left[i][i];
            for (int column = 0; column < 2 * size; column++) {
                left[i][column] /= by;
            }
            for (int row = 0; row < size; row++) {
                double times = row == i ? 0 : left[row][i];
                for (int column = 0; column < 2 * size && times != 0; column++) {
                    left[row][column] -= times * left[i][column];
                }
            }
        }
        double[][] found = new double[2][size];
        for (int i = 0; i < size; i++) {
            for (int j = 0; j < size; j++) {
                found[0][i] += left[i][size + j] * with[j];
            }
            found[1][i] = left[i][size + i];
        }
        return found;
    }

    /** Squares that these factors leave between the means of what was added. */
    double left(double[] factors) {
        double explained = 0;
        for (int i = 0; i < size; i++) {
            explained += 2 * factors[i] * with[i];
            for (int j = 0; j < size; j++) {
                explained -= factors[i] * factors[j] * cross[i][j];
            }
        }
        return Math.max(0, whole - explained);
    }
}
