//! Histories on which two versions of the decision module are compared: small fleets in simulated
//! time, each with faults of its kind, drawn from the history's number.

use super::wire::Written;
use crate::draw::draw;
use crate::experiment::{Experiment, Fault, FaultKind, Variant, Way};
use crate::sim::simulate_observed;
use crate::{SECOND, Us};
use load_balancer_common::config::InvalidConfig;
use load_balancer_common::units::Time;
use serde::{Deserialize, Serialize};

/// What goes wrong in a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Nothing, and there is room for all.
    Calm,
    /// More is asked for than servers can do.
    Crowded,
    /// Servers die and come back cold.
    Dead,
    /// Servers answer nothing.
    Silent,
    /// Servers are slow.
    Slow,
    /// Servers answer errors.
    Failing,
    /// Servers are replaced.
    Replaced,
    /// A zone is cut off, one way or both.
    Cut,
    /// The network is slow and breaks connections.
    Network,
    /// Sidecars are killed, restarted or stopped for a while.
    Sidecars,
    /// Three of these at once.
    Several,
}

impl Kind {
    /// All of them, in the order in which histories take them in turn.
    pub const ALL: [Self; 11] = [
        Self::Calm,
        Self::Crowded,
        Self::Dead,
        Self::Silent,
        Self::Slow,
        Self::Failing,
        Self::Replaced,
        Self::Cut,
        Self::Network,
        Self::Sidecars,
        Self::Several,
    ];

    /// The kind of that history.
    pub fn of(history: u64) -> Self {
        Self::ALL[(history % Self::ALL.len() as u64) as usize]
    }
}

/// How long clients of a history ask.
const LASTS: Us = 6 * SECOND;
/// Work of the site's requests that leaves room for all at any topology drawn here, and that which
/// does not.
const ROOM: f64 = 0.3;
/// See [`ROOM`].
const OVERLOAD_SLOWDOWN: f64 = 2.0;

/// Draws the experiment of that history.
pub fn experiment(history: u64) -> Experiment {
    let mut rng = fastrand::Rng::with_seed(history);
    let kind = Kind::of(history);
    let mut e = Experiment {
        name: format!("history-{history}"),
        ..Experiment::default()
    };
    let t = &mut e.topology;
    t.zones = rng.usize(1..=3);
    (t.sidecars, t.servers) = (rng.usize(2..=5), rng.usize(6..=12));
    (t.group, t.limited) = (rng.usize(2..=4), rng.f64() / 2.0);
    let zones = t.zones;
    let l = &mut e.load;
    (l.lasts, l.warmup) = (Time::ms(LASTS / 1000), Time::ms(0));
    (l.rate, l.uneven, l.wander) = (10.0 + rng.f64() * 10.0, rng.f64(), rng.f64() / 2.0);
    l.keys = rng.usize(20..500);
    l.work = match kind {
        Kind::Crowded => OVERLOAD_SLOWDOWN * (1.0 + rng.f64()),
        _ => ROOM * (1.0 + rng.f64()),
    };
    match kind {
        Kind::Several => {
            // Calm and crowded have no fault; and none twice, as an adapter numbers servers as it
            // hears of them.
            let mut single = Kind::ALL[2..Kind::ALL.len() - 1].to_vec();
            rng.shuffle(&mut single);
            for kind in single.into_iter().take(3) {
                e.fault.push(fault(&mut rng, kind, zones));
            }
        }
        Kind::Calm | Kind::Crowded => {}
        kind => e.fault.push(fault(&mut rng, kind, zones)),
    }
    e
}

fn fault(rng: &mut fastrand::Rng, kind: Kind, zones: usize) -> Fault {
    use FaultKind::*;
    let kind = match kind {
        Kind::Dead => ServersDie,
        Kind::Silent => ServersSilent,
        Kind::Slow => ServersSlow,
        Kind::Failing => ServersFail,
        Kind::Replaced => ServersReplace,
        Kind::Cut => ZoneCut,
        Kind::Network => [NetworkSlow, NetworkResets][rng.usize(..2)],
        _ => [SidecarsKill, SidecarsRoll, SidecarsPause][rng.usize(..3)],
    };
    let size = match kind {
        ServersSlow => Some(1.5 + rng.f64() * 6.0),
        ServersFail => Some(0.1 + rng.f64() * 0.9),
        NetworkSlow => Some(1.0 + rng.f64() * 80.0),
        NetworkResets => Some(rng.f64() * 0.3),
        _ => None,
    };
    let way = (kind == ZoneCut).then(|| [Way::In, Way::Out, Way::Both][rng.usize(..3)]);
    let zone = way.map(|_| rng.usize(..zones));
    let (at, lasts) = (Time::ms(rng.u64(500..3500)), Time::ms(rng.u64(300..2500)));
    Fault {
        kind,
        at,
        lasts,
        zone,
        part: Some(0.1 + rng.f64() * 0.7),
        size,
        way,
    }
}

/// Runs that history with the module of today, and hands over what passed between it and the
/// sidecars as the simulator's wire has it.
///
/// # Errors
/// Never, as a history has no product configuration.
pub fn history(number: u64) -> Result<Written, InvalidConfig> {
    let experiment = experiment(number);
    let plan = draw(&experiment, number);
    let names: Vec<String> = plan
        .servers
        .iter()
        .map(|server| server.name.clone())
        .collect();
    let mut written = Written::new(names);
    simulate_observed(&experiment, &plan, &Variant::default(), Some(&mut written))?;
    Ok(written)
}
