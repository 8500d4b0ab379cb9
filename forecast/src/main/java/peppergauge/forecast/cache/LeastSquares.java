package peppergauge.forecast.cache;

/**
 * Weighted least squares over a few regressors, computed from sums. A regressor without observations gets the factor 0.
 */
final class LeastSquares {

    /** Added to the diagonal, so that a regressor without observations does not make the system singular. */
    private static final double RIDGE = 1e-9;

    private final int size;
    private final double[][] regressorProducts;
    private final double[] responseProducts;
    private double responseSquares;

    LeastSquares(int size) {
        this.size = size;
        regressorProducts = new double[size][size];
        responseProducts = new double[size];
    }

    /**
     * Adds observations that have the same regressors.
     *
     * @param count number of observations
     * @param sum sum of the observed values
     * @param x values of the regressors
     */
    void add(double count, double sum, double... x) {
        for (int i = 0; i < size; i++) {
            for (int j = 0; j < size; j++) {
                regressorProducts[i][j] += count * x[i] * x[j];
            }
            responseProducts[i] += sum * x[i];
        }
        responseSquares += count == 0 ? 0 : sum * sum / count;
    }

    /**
     * Returns the factors of the regressors, and then the variance of each factor as a multiple of that of one
     * observation.
     */
    double[][] solve() {
        double[][] augmented = new double[size][2 * size];
        for (int i = 0; i < size; i++) {
            System.arraycopy(regressorProducts[i], 0, augmented[i], 0, size);
            augmented[i][i] += RIDGE;
            augmented[i][size + i] = 1;
        }
        for (int i = 0; i < size; i++) {
            double pivot = augmented[i][i];
            for (int column = 0; column < 2 * size; column++) {
                augmented[i][column] /= pivot;
            }
            for (int row = 0; row < size; row++) {
                double multiple = row == i ? 0 : augmented[row][i];
                for (int column = 0; column < 2 * size && multiple != 0; column++) {
                    augmented[row][column] -= multiple * augmented[i][column];
                }
            }
        }
        double[][] found = new double[2][size];
        for (int i = 0; i < size; i++) {
            for (int j = 0; j < size; j++) {
                found[0][i] += augmented[i][size + j] * responseProducts[j];
            }
            found[1][i] = augmented[i][size + i];
        }
        return found;
    }

    /** Returns the sum of squared residuals, between the means of the added observations, for these factors. */
    double residualSquares(double[] factors) {
        double explained = 0;
        for (int i = 0; i < size; i++) {
            explained += 2 * factors[i] * responseProducts[i];
            for (int j = 0; j < size; j++) {
                explained -= factors[i] * factors[j] * regressorProducts[i][j];
            }
        }
        return Math.max(0, responseSquares - explained);
    }
}
