//! Means, and confidence intervals of paired differences.

use serde::Serialize;

/// A mean and the interval that holds the true one in 95 of 100 cases.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Interval {
    /// The mean.
    pub mean: f64,
    /// The interval's ends; absent for fewer than two values.
    pub low: Option<f64>,
    /// See `low`.
    pub high: Option<f64>,
}

/// Quantiles of Student's distribution at 0.975 for 1 to 30 degrees of freedom (Student, Biometrika
/// 6, 1908, p. 1; the figures as in every table of it).
const STUDENT: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160,
    2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056,
    2.052, 2.048, 2.045, 2.042,
];
/// The same of the normal distribution, for more.
const NORMAL: f64 = 1.960;

/// The mean; 0 of nothing.
pub fn mean(values: &[f64]) -> f64 {
    if values.is_empty() {
        0.0
    } else {
        values.iter().sum::<f64>() / values.len() as f64
    }
}

/// The interval of the mean of paired differences, or of any values that scatter alike.
pub fn interval(values: &[f64]) -> Interval {
    let mean = mean(values);
    let degrees = values.len().saturating_sub(1);
    if degrees == 0 {
        return Interval {
            mean,
            low: None,
            high: None,
        };
    }
    let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / degrees as f64;
    let quantile = STUDENT.get(degrees - 1).copied().unwrap_or(NORMAL);
    let half = quantile * (variance / values.len() as f64).sqrt();
    Interval {
        mean,
        low: Some(mean - half),
        high: Some(mean + half),
    }
}

#[cfg(test)]
mod tests;
