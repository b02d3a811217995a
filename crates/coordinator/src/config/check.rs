//! Validates a configuration: bounds of single values, and contradictions between values.

use super::{CoordinatorSection, ObservationSection, Sections};
use load_balancer_common::config::{Configuration, InvalidSetting};
use load_balancer_common::units::Time;
use std::ops::RangeInclusive;

/// Maximum number of coordinators: five tolerate two failures, and more only slow down each commit.
const MAX_COORDINATORS: usize = 7;
/// Maximum length of a coordinator's name in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Bounds on the number of open connections.
const CONNECTIONS: RangeInclusive<usize> = 8..=4_096;
/// Bounds on the number of heartbeats that may be missed.
const PATIENCE_HEARTBEATS: RangeInclusive<usize> = 3..=1_000;
/// Bounds on the number of concurrent actions.
const CONCURRENT_ACTIONS: RangeInclusive<usize> = 1..=256;
const MIN_TIME: Time = Time::ms(10);
const MAX_HEARTBEAT: Time = Time::ms(10_000);
const MAX_TIME: Time = Time::ms(60_000);

impl Configuration for Sections {
    fn check(&self) -> Result<(), InvalidSetting> {
        self.log.check()?;
        self.metrics.check()?;
        self.check_members()?;
        self.coordinator.check()?;
        if !CONCURRENT_ACTIONS.contains(&self.platform.at_once) {
            return contradiction("platform.at_once", "must be from 1 to 256".to_owned());
        }
        self.check_times()?;
        self.observations.check_agree()?;
        if self.affinity_drain.quiet > MAX_TIME {
            return contradiction("affinity_drain.quiet", "must be at most 1m".to_owned());
        }
        self.observations
            .check_period(self.budget.evidence_bound_ms)?;
        self.budget
            .check()
            .map_err(|e| InvalidSetting::new(&format!("disruption_budget.{}", e.key), e.reason))
    }
}

impl Sections {
    fn check_members(&self) -> Result<(), InvalidSetting> {
        let name = &self.coordinator.name;
        let fits = (1..=MAX_NAME_BYTES).contains(&name.len());
        if !fits || !name.bytes().all(|b| b.is_ascii_graphic()) {
            return contradiction(
                "coordinator.name",
                format!("must have 1 to {MAX_NAME_BYTES} characters without spaces"),
            );
        }
        if !self.coordinators.contains_key(name) {
            return contradiction(
                "coordinator.name",
                format!("{name:?} is not one of [coordinators]"),
            );
        }
        if self.coordinators.len() > MAX_COORDINATORS {
            return contradiction("coordinators", format!("are more than {MAX_COORDINATORS}"));
        }
        Ok(())
    }

    fn check_times(&self) -> Result<(), InvalidSetting> {
        for (key, time) in [
            ("coordinator.timeout", self.coordinator.timeout),
            ("platform.timeout", self.platform.timeout),
            ("observations.period", self.observations.period),
            ("observations.timeout", self.observations.timeout),
        ] {
            if !(MIN_TIME..=MAX_TIME).contains(&time) {
                return contradiction(key, "must be from 10ms to 1m".to_owned());
            }
        }
        Ok(())
    }
}

impl CoordinatorSection {
    fn check(&self) -> Result<(), InvalidSetting> {
        if !(MIN_TIME..=MAX_HEARTBEAT).contains(&self.heartbeat) {
            return contradiction(
                "coordinator.heartbeat",
                "must be from 10ms to 10s".to_owned(),
            );
        }
        if !PATIENCE_HEARTBEATS.contains(&self.patience) {
            return contradiction(
                "coordinator.patience",
                "must be from 3 to 1000 heartbeats".to_owned(),
            );
        }
        if !CONNECTIONS.contains(&self.connections) {
            return contradiction(
                "coordinator.connections",
                "must be from 8 to 4096".to_owned(),
            );
        }
        Ok(())
    }
}

impl ObservationSection {
    fn check_agree(&self) -> Result<(), InvalidSetting> {
        if self.agree == 0 || self.agree > self.ask {
            return contradiction(
                "observations.agree",
                format!("must be from 1 to observations.ask, {}", self.ask),
            );
        }
        Ok(())
    }

    /// Checks the polling interval against the maximum staleness of observations, in milliseconds.
    fn check_period(&self, max_staleness_ms: i64) -> Result<(), InvalidSetting> {
        let period_ms = i64::try_from(self.period.0.as_millis()).unwrap_or(i64::MAX);
        if period_ms >= max_staleness_ms {
            return contradiction(
                "observations.period",
                format!("evidence would be older than its bound, {max_staleness_ms} ms"),
            );
        }
        Ok(())
    }
}

fn contradiction(key: &str, reason: String) -> Result<(), InvalidSetting> {
    Err(InvalidSetting::new(key, reason))
}
