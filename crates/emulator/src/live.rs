//! The live table of the command `up`.

use crate::plan::Plan;
use crate::record::{Entry, Record, Seen, Try};
use crate::site::{CLASSES, ZONES};
use std::collections::HashMap;
use std::fmt::Write;

/// Follows a record and tells what happened since it was last asked.
pub struct Live<'a> {
    plan: &'a Plan,
    record: Record,
    seen: usize,
    arrivals: HashMap<Try, (usize, u64)>,
    served: u64,
    asked: u64,
}

/// Servers that are shown one by one.
const SHOWN: usize = 40;

impl<'a> Live<'a> {
    /// From the beginning.
    pub fn new(plan: &'a Plan, record: Record) -> Self {
        Self {
            plan,
            record,
            seen: 0,
            arrivals: HashMap::new(),
            served: 0,
            asked: 0,
        }
    }

    /// The table of what happened since the last one, `seconds` ago.
    #[expect(clippy::too_many_lines, reason = "one table from top to bottom")]
    pub fn table(&mut self, seconds: f64) -> String {
        let entries: Vec<Entry> = self.record.after(self.seen);
        self.seen += entries.len();
        let mut by_class = CLASSES.map(|_| (0_u64, 0_u64, 0_u64, Vec::new()));
        let mut by_server = vec![(0_u64, 0_u64, 0_u64); self.plan.servers.len()];
        let mut of_attempt: HashMap<u64, usize> = HashMap::new();
        let (mut handshakes, mut told) = (0_u64, 0_u64);
        for (at, seen) in &entries {
            match seen {
                Seen::Taken {
                    request, arrival, ..
                } => {
                    self.arrivals.insert(*request, (*arrival, *at));
                    by_class[self.plan.arrivals[*arrival].class].0 += 1;
                    self.asked += 1;
                }
                Seen::Answered {
                    request, status, ..
                } => {
                    let Some((arrival, _)) = self.arrivals.remove(request) else {
                        continue;
                    };
                    let arrival = &self.plan.arrivals[arrival];
                    let of = &mut by_class[arrival.class];
                    if *status == 200 {
                        (of.1, self.served) = (of.1 + 1, self.served + 1);
                        of.3.push(at.saturating_sub(arrival.at));
                    } else {
                        of.2 += 1;
                    }
                }
                Seen::Lost { request } | Seen::GaveUp { request } => {
                    if let Some((arrival, _)) = self.arrivals.remove(request) {
                        by_class[self.plan.arrivals[arrival].class].2 += 1;
                    }
                }
                Seen::Attempt { number, server, .. } => {
                    by_server[*server].0 += 1;
                    of_attempt.insert(*number, *server);
                }
                Seen::AttemptAnswered {
                    number,
                    unprocessed: true,
                    ..
                } => {
                    of_attempt
                        .get(number)
                        .into_iter()
                        .for_each(|server| by_server[*server].1 += 1);
                }
                Seen::AttemptSwallowed { number } => {
                    of_attempt
                        .get(number)
                        .into_iter()
                        .for_each(|server| by_server[*server].2 += 1);
                }
                Seen::Handshake { .. } => handshakes += 1,
                Seen::PlatformConfig { .. } => told += 1,
                _ => {}
            }
        }
        let mut text = String::new();
        // Writing to a text cannot fail.
        let _ = writeln!(
            text,
            "class       asked/s  served/s  not served/s   median ms   99 % ms"
        );
        for (class, (asked, served, not, times)) in CLASSES.iter().zip(&mut by_class) {
            times.sort_unstable();
            let at = |part: f64| {
                let place = (times.len() as f64 * part) as usize;
                times
                    .get(place.min(times.len().saturating_sub(1)))
                    .map_or(0.0, |us| *us as f64 / 1e3)
            };
            let _ = writeln!(
                text,
                "{:<10}{:>9.1}{:>10.1}{:>14.1}{:>12.1}{:>10.1}",
                class.name,
                *asked as f64 / seconds,
                *served as f64 / seconds,
                *not as f64 / seconds,
                at(0.5),
                at(0.99)
            );
        }
        let _ = writeln!(
            text,
            "in all {} tries, {} served; {:.1} connections a second, {told} news of the list\n\nserver      zone    attempts/s  turned away/s  nothing came/s",
            self.asked,
            self.served,
            handshakes as f64 / seconds
        );
        for (spec, (attempts, turned, swallowed)) in
            self.plan.servers.iter().zip(&by_server).take(SHOWN)
        {
            let _ = writeln!(
                text,
                "{:<12}{:<8}{:>10.1}{:>15.1}{:>16.1}",
                spec.name,
                ZONES[spec.zone],
                *attempts as f64 / seconds,
                *turned as f64 / seconds,
                *swallowed as f64 / seconds
            );
        }
        text
    }
}

#[cfg(test)]
mod tests;
