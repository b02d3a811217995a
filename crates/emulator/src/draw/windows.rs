//! Draws which servers are to be maintained, and computes the capacity floor.

use super::us;
use crate::experiment::Experiment;
use crate::listing::capacity;
use crate::plan::{Kept, ServerSpec, WindowSpec};
use fastrand::Rng;

/// Draws the servers of each window: none is in two.
pub(super) fn windows(
    experiment: &Experiment,
    servers: &[ServerSpec],
    rng: &mut Rng,
) -> Vec<WindowSpec> {
    let mut free: Vec<usize> = (0..servers.len()).filter(|i| servers[*i].first).collect();
    rng.shuffle(&mut free);
    let mut windows = Vec::new();
    for window in experiment
        .window
        .iter()
        .flat_map(|window| std::iter::repeat_n(window, window.times))
    {
        let fits = |i: &usize| window.zone.is_none_or(|zone| zone == servers[*i].zone);
        let chosen: Vec<usize> = free
            .iter()
            .copied()
            .filter(fits)
            .take(window.servers)
            .collect();
        free.retain(|i| !chosen.contains(i));
        windows.push(WindowSpec {
            at: us(window.at),
            servers: chosen,
            length: us(window.length),
            overrun: us(window.overrun),
            latest: us(window.latest.unwrap_or(experiment.load.lasts)),
            priority: window.priority,
            split: window.split,
        });
    }
    windows.sort_by_key(|window| window.at);
    windows
}

/// What must stay, of what is there at the beginning.
pub(super) fn kept(experiment: &Experiment, servers: &[ServerSpec]) -> Option<Kept> {
    let agreed = experiment.agreement.as_ref()?;
    let of = |zone: Option<usize>| -> u64 {
        let there = servers
            .iter()
            .filter(|s| s.first && zone.is_none_or(|zone| zone == s.zone));
        there.map(capacity).sum()
    };
    let part = |whole: u64, part: f64| (whole as f64 * part).ceil() as u64;
    Some(Kept {
        keep: part(of(None), agreed.keep),
        keep_zone: (0..experiment.topology.zones)
            .map(|zone| part(of(Some(zone)), agreed.keep_zone))
            .collect(),
        most_away: agreed.most_away,
        answered_within: us(agreed.answered_within),
        blackouts: agreed
            .blackout
            .iter()
            .map(|b| (us(b.at), us(b.at) + us(b.lasts)))
            .collect(),
        overrun_may_enter: agreed.overrun_may_enter_blackout,
    })
}
