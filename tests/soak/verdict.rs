//! What a play has shown, and which rules it broke.

use std::fmt;

/// The counts of a play.
#[derive(Debug, Default)]
pub struct Verdict {
    pub what: String,
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    /// Requests cut off by a kill, which are no break.
    pub killed: usize,
    /// Requests without a whole answer in time.
    pub lost: Vec<String>,
    /// Ids that an endpoint received after they may have run, of a class that must not run twice.
    pub repeated: Vec<String>,
    /// Requests that told an endpoint more time than their clients had.
    pub told_too_much: Vec<String>,
    /// The process ended by itself or did not stop as it was told.
    pub ended: Vec<String>,
    pub peak_memory_kb: usize,
    pub memory_limit_kb: usize,
    pub most_descriptors: usize,
    pub descriptor_limit: usize,
}

impl Verdict {
    /// Adds what one client has seen.
    pub fn add(&mut self, client: Self) {
        self.served += client.served;
        self.refused += client.refused;
        self.failed += client.failed;
        self.killed += client.killed;
        self.lost.extend(client.lost);
    }

    /// The rules that were broken.
    pub fn broken(&self) -> impl Iterator<Item = String> {
        let lists = [
            ("lost", &self.lost),
            ("repeated", &self.repeated),
            ("told too much", &self.told_too_much),
            ("ended", &self.ended),
        ];
        let mut broken: Vec<_> = lists
            .into_iter()
            .filter(|(_, cases)| !cases.is_empty())
            .map(|(rule, cases)| format!("{rule} {}: {}", cases.len(), cases.join("; ")))
            .collect();
        if self.peak_memory_kb > self.memory_limit_kb {
            broken.push(format!("memory: {} KiB", self.peak_memory_kb));
        }
        if self.most_descriptors > self.descriptor_limit {
            broken.push(format!("descriptors: {}", self.most_descriptors));
        }
        if self.served == 0 {
            broken.push("nothing was served".to_owned());
        }
        broken.into_iter()
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}; served {}, refused {}, failed {}, killed {}, lost {}, repeated {}; {} of {} KiB, {} of {} descriptors",
            self.what,
            self.served,
            self.refused,
            self.failed,
            self.killed,
            self.lost.len(),
            self.repeated.len(),
            self.peak_memory_kb,
            self.memory_limit_kb,
            self.most_descriptors,
            self.descriptor_limit,
        )
    }
}
