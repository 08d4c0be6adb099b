package org.ebonyrun.bench;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;
import java.util.Locale;

/**
 * A linear least-squares fit.
 *
 * @param intercept the value at x = 0
 * @param slope the increase of y per unit of x
 * @param slopeError the standard error of the slope
 */
public record LinearFit(double intercept, double slope, double slopeError) {
    /** A data point. */
    public record Point(double x, double y) {}

    /** Fits a line to at least three points. */
    public static LinearFit of(List<Point> points) {
        int n = points.size();
        checkArgument(n >= 3, "a fit needs at least 3 points, got %s", n);
        double meanX = points.stream().mapToDouble(Point::x).average().orElse(0);
        double meanY = points.stream().mapToDouble(Point::y).average().orElse(0);
        double sxx = points.stream().mapToDouble(p -> (p.x() - meanX) * (p.x() - meanX)).sum();
        double sxy = points.stream().mapToDouble(p -> (p.x() - meanX) * (p.y() - meanY)).sum();
        double slope = sxy / sxx;
        double intercept = meanY - slope * meanX;
        double squaredResiduals =
                points.stream()
                        .mapToDouble(p -> Math.pow(p.y() - intercept - slope * p.x(), 2))
                        .sum();
        return new LinearFit(intercept, slope, Math.sqrt(squaredResiduals / (n - 2) / sxx));
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT, "%.4g + %.4g x (slope ± %.2g)", intercept, slope, slopeError);
    }
}
