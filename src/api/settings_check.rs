//! Whether requests can be decided under some settings.

use super::ids::*;
use super::settings::*;

impl Settings {
    /// Checks that requests can be decided under these settings.
    ///
    /// # Errors
    /// The first key that cannot be used, and why.
    pub fn check(&self) -> Result<(), SettingsError> {
        let r = &self.rules;
        let figure = |x: f64| (0.0..1e9).contains(&x);
        let time = |t: Micros| (0..1 << 50).contains(&t);
        let share = |x: f64| (0.0..=1.0).contains(&x);
        let all = |f: &dyn Fn(&Class) -> bool| self.classes.iter().all(f);
        for (fine, what) in [
            (!self.classes.is_empty(), "classes: no request classes"),
            (
                all(&|c| c.latency_objective > 0 && time(c.latency_objective)),
                "classes: aim must be above 0 and under 2^50 us",
            ),
            (
                all(&|c| c.deadline > 0 && time(c.deadline)),
                "classes: deadline must be above 0 and under 2^50 us",
            ),
            (
                all(&|c| !matches!(c.effect, Effect::Keyed { ttl, .. } if !time(ttl))),
                "classes: ttl must lie in 0 to 2^50 us",
            ),
            (
                all(&|c| figure(c.objective_per_work)),
                "classes: aim_stretch must be finite and not negative",
            ),
            (
                self.limits.max_attempts > 0,
                "limits: max_attempts must be above 0",
            ),
            (
                share(r.cold_capacity),
                "rules: cold_share must lie in 0 to 1",
            ),
            (
                figure(r.overload_factor),
                "rules: overload_factor must be finite and not negative",
            ),
            (
                time(r.warmup_time),
                "rules: warm_within must lie in 0 to 2^50 us",
            ),
            (
                time(r.overload_window),
                "rules: tip_after must lie in 0 to 2^50 us",
            ),
            (
                time(r.poll_interval),
                "rules: ask_within must lie in 0 to 2^50 us",
            ),
            (
                time(self.clock_granularity),
                "tick must lie in 0 to 2^50 us",
            ),
        ] {
            if !fine {
                return Err(SettingsError(what));
            }
        }
        Ok(())
    }
}

/// Settings that cannot be used; the text says why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub &'static str);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "unusable settings: {}", self.0)
    }
}
impl std::error::Error for SettingsError {}
