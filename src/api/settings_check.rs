//! Validation of settings.

use super::ids::*;
use super::settings::*;

impl Settings {
    /// Validates the settings.
    ///
    /// # Errors
    /// Returns the first setting that is invalid, and why.
    pub fn check(&self) -> Result<(), SettingsError> {
        let rules = &self.rules;
        let is_valid_number = |x: f64| (0.0..1e9).contains(&x);
        let is_valid_duration = |t: Micros| (0..1 << 50).contains(&t);
        let is_fraction = |x: f64| (0.0..=1.0).contains(&x);
        let all_classes = |f: &dyn Fn(&Class) -> bool| self.classes.iter().all(f);
        for (is_valid, message) in [
            (!self.classes.is_empty(), "classes: no request classes"),
            (
                all_classes(&|c| c.latency_objective > 0 && is_valid_duration(c.latency_objective)),
                "classes: aim must be above 0 and under 2^50 us",
            ),
            (
                all_classes(&|c| c.deadline > 0 && is_valid_duration(c.deadline)),
                "classes: deadline must be above 0 and under 2^50 us",
            ),
            (
                all_classes(
                    &|c| !matches!(c.effect, Effect::IdempotentByKey { ttl, .. } if !is_valid_duration(ttl)),
                ),
                "classes: ttl must lie in 0 to 2^50 us",
            ),
            (
                all_classes(&|c| is_valid_number(c.objective_per_work)),
                "classes: aim_stretch must be finite and not negative",
            ),
            (
                self.limits.max_attempts > 0,
                "limits: max_attempts must be above 0",
            ),
            (
                is_fraction(rules.cold_capacity),
                "rules: cold_share must lie in 0 to 1",
            ),
            (
                is_valid_number(rules.overload_factor),
                "rules: overload_factor must be finite and not negative",
            ),
            (
                is_valid_duration(rules.warmup_time),
                "rules: warm_within must lie in 0 to 2^50 us",
            ),
            (
                is_valid_duration(rules.overload_window),
                "rules: tip_after must lie in 0 to 2^50 us",
            ),
            (
                is_valid_duration(rules.poll_interval),
                "rules: ask_within must lie in 0 to 2^50 us",
            ),
            (
                is_valid_duration(self.clock_granularity),
                "tick must lie in 0 to 2^50 us",
            ),
        ] {
            if !is_valid {
                return Err(SettingsError(message));
            }
        }
        Ok(())
    }
}

/// Invalid settings; the text says why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub &'static str);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "unusable settings: {}", self.0)
    }
}
impl std::error::Error for SettingsError {}
