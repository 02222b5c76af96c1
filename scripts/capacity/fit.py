"""Fits straight lines to measured points and rates the quality of the fit."""

import math
from collections import namedtuple

# A slope is rejected when the line explains less than this fraction of the variance, or when its standard error exceeds
# this fraction of the slope: an extrapolation from it would be wrong by a factor instead of a few per cent.
MIN_R_SQUARED = 0.9
MAX_RELATIVE_ERROR = 0.25

Line = namedtuple("Line", "slope intercept slope_error r_squared points")


def fit_line(points):
    """Fits a line by least squares; raises ValueError for (x, y) points with fewer than three different x."""
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
    """Whether the fit is too poor to extrapolate from."""
    return line.r_squared < MIN_R_SQUARED or line.slope_error > MAX_RELATIVE_ERROR * abs(line.slope)
