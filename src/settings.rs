//! The settings object that an instance is given at its start, as JSON: on the simulator's wire and
//! in a sidecar's configuration alike. Decoded here and nowhere else.

mod error;
mod form;
mod names;

use crate::api::*;
pub use error::{DecodeError, Named};
use form::{Conf, Lane};
pub use names::Names;
use std::collections::HashSet;

/// What a settings object says: the module's settings, and the names behind the numbers in them.
pub struct Decoded {
    /// The settings.
    pub settings: Settings,
    /// Classes by their numbers.
    pub classes: Vec<String>,
    /// Tenants by their numbers.
    pub tenants: Vec<String>,
    /// Zones by their numbers; lists may name further ones.
    pub zones: Names,
    /// How long an endpoint keeps an idle connection; 0 where that is not said.
    pub idle_close: Micros,
}

/// Reads a settings object.
///
/// # Errors
/// It is not of the form; [`Settings::check`] says whether requests can be decided under it.
pub fn decode(text: &str) -> Result<Decoded, DecodeError> {
    let conf: Conf = serde_json::from_str(text)?;
    let mut zones = Names::default();
    let classes = unique_names(Named::Class, conf.lanes.iter().map(|l| l.name.clone()))?;
    let tenants = unique_names(Named::Tenant, conf.tenants.iter().map(|t| t.name.clone()))?;
    let idle_close = conf.limits.idle_close_us;
    let settings = conf.settings(&mut zones)?;
    Ok(Decoded {
        settings,
        classes,
        tenants,
        zones,
        idle_close,
    })
}

/// The names, none of them empty or given twice: requests name their class and tenant, and a second
/// one of that name would lend the first one's effect and limits to the other's requests.
fn unique_names(
    kind: Named,
    names: impl Iterator<Item = String>,
) -> Result<Vec<String>, DecodeError> {
    let mut seen = HashSet::new();
    let mut unique = Vec::new();
    for name in names {
        if name.is_empty() {
            return Err(DecodeError::NoName(kind));
        }
        if !seen.insert(name.clone()) {
            return Err(DecodeError::NameTwice { kind, name });
        }
        unique.push(name);
    }
    Ok(unique)
}

impl Conf {
    fn settings(self, zones: &mut Names) -> Result<Settings, DecodeError> {
        for zone in &self.zones {
            zones.id(zone);
        }
        let classes = self
            .lanes
            .into_iter()
            .map(Lane::class)
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
                _ => WeightSource::Silent,
            },
            reports: match self.report.source.as_str() {
                "piggyback" => ReportSource::Piggyback,
                "pull" => ReportSource::Probe,
                _ => ReportSource::Silent,
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
                whole: self.goal.whole,
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

impl Lane {
    fn class(self) -> Result<Class, DecodeError> {
        let effect = match self.effect.as_str() {
            "pure" => Effect::Safe,
            "token" => Effect::Keyed {
                scope: self.scope()?,
                ttl: self.key_ttl_us,
            },
            "side_effect" => Effect::Unsafe,
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

    /// Which endpoints drop repeats. Where that is not said, it is those that surely do.
    fn scope(&self) -> Result<DedupScope, DecodeError> {
        match self.dedup_scope.as_deref() {
            Some("all") => Ok(DedupScope::All),
            Some("zone") => Ok(DedupScope::Zone),
            Some("cell") | None => Ok(DedupScope::Cell),
            Some(other) => Err(DecodeError::UnknownScope(other.to_owned())),
        }
    }
}
