"""Fits straight lines to measured points and tells how far they can be trusted."""

import math
from collections import namedtuple

# A slope is refused when the line explains less than this share of the variance, or when its standard error is more
# than this share of the slope: a sum worked out from it would be off by a factor instead of a few per cent.
MIN_R_SQUARED = 0.9
MAX_RELATIVE_ERROR = 0.25

Line = namedtuple("Line", "slope intercept slope_error r_squared points")


def fit_line(points):
    """Least squares through (x, y) points with at least three different x."""
    if len({x for x, _ in points}) < 3:
        raise ValueError("a slope needs at least three sizes")
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread_x = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread_x
    intercept = mean_y - slope * mean_x
    residual = sum((y - intercept - slope * x) ** 2 for x, y in points)
    total = sum((y - mean_y) ** 2 for _, y in points)
    error = math.sqrt(residual / max(count - 2, 1) / spread_x)
    r_squared = 1.0 - residual / total if total > 0 else 0.0
    return Line(slope, intercept, error, r_squared, count)


def is_poor(line):
    """Whether a line must not be used for sums."""
    return line.r_squared < MIN_R_SQUARED or line.slope_error > MAX_RELATIVE_ERROR * abs(line.slope)
