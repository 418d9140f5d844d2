//! The `slope_fit` module provides linear regression of measured points.

use crate::key_values::KeyValues;

/// A line `y = intercept + slope * x`, fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlopeFit {
    /// The increase of `y` per unit of `x`.
    pub slope: f64,
    /// The value at `x = 0`.
    pub intercept: f64,
    /// The coefficient of determination, 1 if all points lie on the line.
    pub r_squared: f64,
}

impl SlopeFit {
    /// Fits a line; `None` unless the points have two different `x`.
    pub fn of(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let sum_of = |left: fn(&(f64, f64), f64, f64) -> f64| -> f64 {
            points.iter().map(|point| left(point, mean_x, mean_y)).sum()
        };
        let xx = sum_of(|point, x, _| (point.0 - x).powi(2));
        let xy = sum_of(|point, x, y| (point.0 - x) * (point.1 - y));
        let yy = sum_of(|point, _, y| (point.1 - y).powi(2));
        if points.len() < 2 || xx == 0.0 {
            return None;
        }
        let slope = xy / xx;
        Some(SlopeFit {
            slope,
            intercept: mean_y - slope * mean_x,
            r_squared: if yy == 0.0 { 1.0 } else { slope * xy / yy },
        })
    }

    /// Returns the value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }

    /// Returns the fit as key=value pairs, named by the units of `y` and `x`.
    pub fn pairs(&self, unit: &str, per: &str) -> KeyValues {
        KeyValues::new()
            .with("fit", format_args!("{unit}_per_{per}"))
            .with("slope", format_args!("{:.6}", self.slope))
            .with("intercept", format_args!("{:.3}", self.intercept))
            .with("r2", format_args!("{:.4}", self.r_squared))
    }
}
