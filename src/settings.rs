//! Decoding of the settings object: JSON that both the simulator and the sidecar's configuration
//! use.

mod error;
mod form;
mod names;

use crate::api::*;
pub use error::{DecodeError, NamedItem};
use form::{ClassObject, SettingsObject};
pub use names::NameTable;
use std::collections::HashSet;

/// A decoded settings object: the settings, and the names behind the ids in them.
pub struct DecodedSettings {
    /// The settings.
    pub settings: Settings,
    /// Names of the classes, by id.
    pub classes: Vec<String>,
    /// Names of the tenants, by id.
    pub tenants: Vec<String>,
    /// Names of the zones; endpoint lists may add more.
    pub zones: NameTable,
    /// How long an endpoint keeps an idle connection open; 0 if not specified.
    pub idle_close: Micros,
}

/// Decodes a settings object.
///
/// # Errors
/// Returns an error if the text is not a valid settings object. [`Settings::check`] validates the
/// values.
pub fn decode(text: &str) -> Result<DecodedSettings, DecodeError> {
    let object: SettingsObject = serde_json::from_str(text)?;
    let mut zones = NameTable::default();
    let classes = unique_names(
        NamedItem::Class,
        object.lanes.iter().map(|l| l.name.clone()),
    )?;
    let tenants = unique_names(
        NamedItem::Tenant,
        object.tenants.iter().map(|t| t.name.clone()),
    )?;
    let idle_close = object.limits.idle_close_us;
    let settings = object.settings(&mut zones)?;
    Ok(DecodedSettings {
        settings,
        classes,
        tenants,
        zones,
        idle_close,
    })
}

/// Returns the names, or an error if one is empty or used twice: requests refer to their class and
/// tenant by name, so a duplicate would apply the effect and limits of one to requests of the
/// other.
fn unique_names(
    kind: NamedItem,
    names: impl Iterator<Item = String>,
) -> Result<Vec<String>, DecodeError> {
    let mut seen = HashSet::new();
    let mut unique = Vec::new();
    for name in names {
        if name.is_empty() {
            return Err(DecodeError::MissingName(kind));
        }
        if !seen.insert(name.clone()) {
            return Err(DecodeError::DuplicateName { kind, name });
        }
        unique.push(name);
    }
    Ok(unique)
}

impl SettingsObject {
    fn settings(self, zones: &mut NameTable) -> Result<Settings, DecodeError> {
        for zone in &self.zones {
            zones.id(zone);
        }
        let classes = self
            .lanes
            .into_iter()
            .map(ClassObject::class)
            .collect::<Result<_, _>>()?;
        let tenants = self.tenants.iter();
        Ok(Settings {
            classes,
            tenants: tenants
                .map(|t| Tenant {
                    quota_per_s: t.quota_per_s,
                    share: t.share,
                })
                .collect(),
            instances: self.balancers,
            index: self.index,
            zone: self.zone.map(|z| zones.id(&z)),
            discovery: match self.discovery.as_str() {
                "on_request" => Discovery::OnRequest,
                _ => Discovery::Pushed,
            },
            weights: match self.weight_source.as_str() {
                "nominal" | "rough" => WeightSource::Size,
                "live" => WeightSource::Live,
                _ => WeightSource::Uniform,
            },
            reports: match self.report.source.as_str() {
                "piggyback" => ReportSource::Piggyback,
                "pull" => ReportSource::Probe,
                _ => ReportSource::Disabled,
            },
            limits: Limits {
                max_attempts: self.limits.max_attempts,
                max_retry_after: self.limits.max_retry_after_us,
                retry_after: self.limits.retry_after,
                may_cancel: self.limits.may_cancel,
                may_duplicate: self.limits.may_duplicate,
                probes: self.limits.probes,
                peers: self.limits.peers,
                dial_timeout: self.limits.dial_timeout_us,
            },
            rules: Rules {
                answer_slack: self.rules.answer_slack_us,
                poll_interval: self.rules.ask_within_us,
                cold_capacity: self.rules.cold_share,
                warmup_time: self.rules.warm_within_us,
                overload_factor: self.rules.overload_factor,
                overload_window: self.rules.tip_after_us,
            },
            prices: Prices {
                cross_zone: self.prices.cross_zone,
                waste: self.prices.waste,
                late_fail: self.prices.late_fail,
                probe: self.prices.probe,
                handshake: self.prices.handshake,
            },
            goal: Goal {
                overall: self.goal.whole,
                worst_class: self.goal.worst_class,
                worst_tenant: self.goal.worst_tenant,
                worst_window: self.goal.worst_window,
            },
            over_quota_weight: self.over_share_worth,
            weight_by_work: self.counted_by == "work",
            marks_retries: self.clients.marks_retry,
            clock_granularity: self.tick_us,
        })
    }
}

impl ClassObject {
    fn class(self) -> Result<Class, DecodeError> {
        let effect = match self.effect.as_str() {
            "pure" => Effect::Idempotent,
            "token" => Effect::IdempotentByKey {
                scope: self.scope()?,
                ttl: self.key_ttl_us,
            },
            "side_effect" => Effect::NonIdempotent,
            other => return Err(DecodeError::UnknownEffect(other.to_owned())),
        };
        Ok(Class {
            latency_objective: self.aim_us,
            objective_per_work: self.aim_stretch,
            deadline: self.deadline_us,
            late_value: self.late_share,
            priority_weight: self.worth,
            effect,
            streaming: self.streaming,
        })
    }

    /// Which endpoints drop repeats; the narrowest scope if not specified.
    fn scope(&self) -> Result<DedupScope, DecodeError> {
        match self.dedup_scope.as_deref() {
            Some("all") => Ok(DedupScope::All),
            Some("zone") => Ok(DedupScope::Zone),
            Some("cell") | None => Ok(DedupScope::Cell),
            Some(other) => Err(DecodeError::UnknownScope(other.to_owned())),
        }
    }
}
