"""Tests of the line fit that docs/CAPACITY.md is computed from."""

import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts" / "capacity"))

import fit  # noqa: E402


class FitTest(unittest.TestCase):
    def test_exact_line(self):
        """Guards against a wrong slope or intercept."""
        line = fit.fit_line([(x, 3.0 * x + 2.0) for x in (10, 30, 100)])
        self.assertAlmostEqual(line.slope, 3.0)
        self.assertAlmostEqual(line.intercept, 2.0)
        self.assertAlmostEqual(line.slope_error, 0.0)
        self.assertFalse(fit.is_poor(line))

    def test_known_spread(self):
        """Guards against a standard error that is wrong by a factor; the expected values were computed by hand."""
        line = fit.fit_line([(0, 0.0), (1, 2.0), (2, 1.0), (3, 3.0)])
        self.assertAlmostEqual(line.slope, 0.8)
        self.assertAlmostEqual(line.intercept, 0.3)
        self.assertAlmostEqual(line.slope_error, 0.4242640687)
        self.assertAlmostEqual(line.r_squared, 0.64)
        self.assertTrue(fit.is_poor(line))

    def test_poor_fits_are_refused(self):
        """Guards against extrapolation from points without a linear trend."""
        for points in ([(10, 5.0), (30, 1.0), (100, 5.5)], [(10, 4.0), (30, 4.0), (100, 4.0)],
                       [(10, 1.0), (30, 9.0), (100, 1.0), (300, 9.0)]):
            self.assertTrue(fit.is_poor(fit.fit_line(points)), points)

    def test_too_few_sizes(self):
        """Guards against a line through only two sizes, which always fits perfectly."""
        with self.assertRaises(ValueError):
            fit.fit_line([(10, 1.0), (10, 1.1), (30, 2.0)])


if __name__ == "__main__":
    unittest.main()
