//! The `slope_fit` module provides a straight line through measured points.

use crate::key_values::KeyValues;

/// A line `y = intercept + slope * x`, fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlopeFit {
    /// How much `y` grows for one more `x`.
    pub slope: f64,
    /// The value at `x = 0`.
    pub intercept: f64,
    /// The share of the variance that the line explains, 1 when all points lie on it.
    pub r_squared: f64,
}

impl SlopeFit {
    /// Fits points; `None` unless there are two different `x`.
    pub fn of(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread = |left: fn(&(f64, f64), f64, f64) -> f64| -> f64 {
            points.iter().map(|point| left(point, mean_x, mean_y)).sum()
        };
        let xx = spread(|point, x, _| (point.0 - x).powi(2));
        let xy = spread(|point, x, y| (point.0 - x) * (point.1 - y));
        let yy = spread(|point, _, y| (point.1 - y).powi(2));
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

    /// The value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }

    /// The fit as pairs, with names that say what was fitted.
    pub fn pairs(&self, unit: &str, per: &str) -> KeyValues {
        KeyValues::new()
            .with("fit", format_args!("{unit}_per_{per}"))
            .with("slope", format_args!("{:.6}", self.slope))
            .with("intercept", format_args!("{:.3}", self.intercept))
            .with("r2", format_args!("{:.4}", self.r_squared))
    }
}
