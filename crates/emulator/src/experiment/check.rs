//! Validates an experiment's file against the limits of the emulator.

use super::{Carried, Experiment, FaultKind};
use load_balancer_common::config::{Configuration, InvalidSetting};

const MAX_SIDECARS: usize = 10_000;
const MAX_SERVERS: usize = 1000;
/// Most requests of one run.
const MAX_REQUESTS: f64 = 5e6;

impl Configuration for Experiment {
    #[expect(
        clippy::too_many_lines,
        reason = "one condition after the other, each with its message"
    )]
    fn check(&self) -> Result<(), InvalidSetting> {
        let invalid = |key: &str, what: &str| Err(InvalidSetting::new(key, what));
        let (topology, load) = (&self.topology, &self.load);
        let is_share = |x: f64| (0.0..=1.0).contains(&x);
        if self.name.is_empty()
            || !self
                .name
                .bytes()
                .all(|b| b.is_ascii_alphanumeric() || b == b'-')
        {
            return invalid("name", "letters, digits and hyphens, at least one");
        }
        if !(1..=MAX_SIDECARS).contains(&topology.sidecars) {
            return invalid("topology.sidecars", "1 to 10000");
        }
        if !(1..=MAX_SERVERS).contains(&topology.servers) {
            return invalid("topology.servers", "1 to 1000");
        }
        if !(1..=3).contains(&topology.zones) || topology.zones > topology.servers {
            return invalid("topology.zones", "1 to 3, and no more than servers");
        }
        if topology.group == 0 || topology.connections == 0 || !is_share(topology.limited) {
            return invalid(
                "topology",
                "group and connections above 0, limited from 0 to 1",
            );
        }
        if !(0.01..=1000.0).contains(&load.rate)
            || load.rate * topology.sidecars as f64 * load.lasts.0.as_secs_f64() > MAX_REQUESTS
        {
            return invalid(
                "load.rate",
                "0.01 to 1000 a second, and no more than 5 million requests in all",
            );
        }
        if !is_share(load.uneven)
            || !is_share(load.wander)
            || load.keys == 0
            || !(0.01..=100.0).contains(&load.work)
        {
            return invalid(
                "load",
                "uneven and wander from 0 to 1, keys above 0, work from 0.01 to 100",
            );
        }
        if load.warmup >= load.lasts {
            return invalid("load.warmup", "it must end before load.lasts does");
        }
        if self.network.list_delay[0] > self.network.list_delay[1] {
            return invalid("network.list_delay", "the least comes first");
        }
        for fault in &self.fault {
            if fault.at >= load.lasts {
                return invalid("fault", "at must lie before load.lasts");
            }
            if fault.zone.is_some_and(|z| z >= topology.zones)
                || fault.part.is_some_and(|p| !is_share(p))
            {
                return invalid(
                    "fault",
                    "zone must be one of topology.zones, part from 0 to 1",
                );
            }
            let needs_size = matches!(
                fault.kind,
                FaultKind::ServersSlow
                    | FaultKind::ServersFail
                    | FaultKind::NetworkSlow
                    | FaultKind::NetworkResets
                    | FaultKind::SidecarsClock
                    | FaultKind::ReturnsLate
                    | FaultKind::DatagramsLost
                    | FaultKind::DatagramsRepeated
                    | FaultKind::DatagramsLate
            );
            if needs_size != fault.size.is_some()
                || fault.size.is_some_and(|s| !(0.0..=1e4).contains(&s))
            {
                return invalid(
                    "fault",
                    "size belongs to servers-slow, servers-fail, network-slow, network-resets, returns-late, sidecars-clock and datagrams-*",
                );
            }
            if (fault.kind == FaultKind::ZoneCut) != fault.way.is_some() {
                return invalid("fault", "way belongs to zone-cut");
            }
        }
        for window in &self.window {
            if window.at >= load.lasts
                || window.servers == 0
                || !(1..=MAX_SERVERS).contains(&window.times)
                || window.zone.is_some_and(|z| z >= topology.zones)
            {
                return invalid(
                    "window",
                    "at must lie before load.lasts, servers and times be above 0, zone one of topology.zones",
                );
            }
            if window.length.0.is_zero() || window.latest.is_some_and(|latest| latest <= window.at)
            {
                return invalid("window", "length must be above 0, latest after at");
            }
        }
        if let Some(agreed) = &self.agreement
            && (!is_share(agreed.keep) || !is_share(agreed.keep_zone) || agreed.most_away == 0)
        {
            return invalid(
                "agreement",
                "keep and keep_zone from 0 to 1, most_away above 0",
            );
        }
        let uses_coordinators = self
            .variant
            .iter()
            .any(|variant| variant.windows == Carried::Asked);
        if uses_coordinators != self.coordinators.is_some()
            || (uses_coordinators && self.agreement.is_none())
        {
            return invalid(
                "coordinators",
                "they belong to windows = \"asked\", and need an agreement",
            );
        }
        if self
            .coordinators
            .as_ref()
            .is_some_and(|coordinators| ![3, 5].contains(&coordinators.count))
        {
            return invalid("coordinators.count", "3 or 5");
        }
        if let Some(coordinators) = &self.coordinators
            && coordinators.count
                < coordinators
                    .clock_offset_ms
                    .len()
                    .max(coordinators.disk_delay.len())
        {
            return invalid(
                "coordinators",
                "clock_offset_ms and disk_delay have one entry a coordinator at most",
            );
        }
        let mut names: Vec<&str> = self.variant.iter().map(|v| v.name.as_str()).collect();
        if names.is_empty() || names.iter().any(|n| n.is_empty()) {
            return invalid("variant", "at least one, each with a name");
        }
        for bound in &self.bounds.measure {
            let is_known =
                |name: &Option<String>| name.as_deref().is_none_or(|n| names.contains(&n));
            if !is_known(&bound.variant) || !is_known(&bound.against) {
                return invalid("bounds.measure", "variant and against must name a variant");
            }
            if bound.least.is_none() && bound.most.is_none() {
                return invalid("bounds.measure", "least or most is needed");
            }
        }
        self.variant
            .iter()
            .filter_map(|v| v.mix.as_ref())
            .try_for_each(|mix| mix.check(load.lasts))?;
        names.sort_unstable();
        if names.windows(2).any(|two| two[0] == two[1]) {
            return invalid("variant", "two have the same name");
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
